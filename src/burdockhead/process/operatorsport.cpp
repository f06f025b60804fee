#include <burdockhead/entry/errorresponse.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/observe/eventtext.h>
#include <burdockhead/observe/metrics.h>
#include <burdockhead/observe/processusage.h>
#include <burdockhead/process/operatorsport.h>

namespace burdockhead {

namespace {

constexpr int okStatus = 200;
constexpr int unavailableStatus = 503;

HttpResponse plainText(int status, std::string text)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(text)};
}

} // namespace

void respondUnknownPath(const HttpRequest &request, HttpResponder &responder)
{
    responder.respond(errorResponse({ErrorKind::UnknownPath,
                                     RunState::NotRun,
                                     "there is nothing under " + request.m_path,
                                     {},
                                     ""},
                                    Clock::now()));
}

OperatorsPort::OperatorsPort(const SocketAddress &listen, OperatorsPortParts parts)
    : m_parts(std::move(parts))
{
    HttpServerOptions options;
    options.m_listen = listen;
    options.m_maxConnections = 100;
    m_server = std::make_unique<HttpServer>(
        options, [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) {
            handle(std::move(request), responder);
        });
}

OperatorsPort::~OperatorsPort() = default;

bool OperatorsPort::start(std::string &error)
{
    const bool started = m_server->start();
    error = m_server->lastError();
    return started;
}

void OperatorsPort::handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.m_path == "/health") {
        responder->respond(plainText(okStatus, "ok\n"));
    } else if (request.m_path == "/ready") {
        const bool ready = m_parts.m_isReady();
        responder->respond(
            plainText(ready ? okStatus : unavailableStatus, ready ? "ready\n" : "not ready\n"));
    } else if (request.m_path == "/metrics") {
        m_parts.m_updateMetrics();
        const ProcessUsage usage = readProcessUsage();
        m_parts.m_metrics.gauge("process_cpu_seconds_total").set(usage.m_processorSeconds);
        m_parts.m_metrics.gauge("process_resident_memory_bytes").set(usage.m_residentBytes);
        responder->respond(plainText(okStatus, m_parts.m_metrics.toPrometheus()));
    } else if (request.m_path == "/timeline") {
        answerTimeline(request, *responder);
    } else {
        m_parts.m_otherPaths(std::move(request), responder);
    }
}

void OperatorsPort::answerTimeline(const HttpRequest &request, HttpResponder &responder)
{
    Failure failure;
    const auto filter = EventFilter::fromRequest(request, failure);
    if (!filter) {
        responder.respond(errorResponse(
            {failure.m_kind, RunState::NotRun, failure.m_reason, {}, ""}, Clock::now()));
        return;
    }
    responder.respond({okStatus,
                       {{"Content-Type", "application/jsonlines"}},
                       toJsonLines(m_parts.m_events.events(*filter))});
}

} // namespace burdockhead
