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

OperatorsPort::OperatorsPort(const SocketAddress &listen, const ClientBudgetLimits &budget,
                             OperatorsPortDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
    HttpServerOptions options;
    options.m_listen = listen;
    options.m_maxConnections = 100;
    options.m_budget = budget;
    m_server = std::make_unique<HttpServer>(
        options, [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) {
            handle(std::move(request), responder);
        });
}

OperatorsPort::~OperatorsPort() = default;

bool OperatorsPort::start(std::string &error)
{
    const bool isStarted = m_server->start();
    error = m_server->lastError();
    return isStarted;
}

void OperatorsPort::handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.m_path == "/health") {
        responder->respond(plainText(okStatus, "ok\n"));
    } else if (request.m_path == "/ready") {
        const bool isReady = m_dependencies.m_isReady();
        responder->respond(
            plainText(isReady ? okStatus : unavailableStatus, isReady ? "ready\n" : "not ready\n"));
    } else if (request.m_path == "/metrics") {
        m_dependencies.m_updateMetrics();
        const ProcessUsage usage = readProcessUsage();
        m_dependencies.m_metrics.gauge("process_cpu_seconds_total").set(usage.m_processorSeconds);
        m_dependencies.m_metrics.gauge("process_resident_memory_bytes").set(usage.m_residentBytes);
        responder->respond(plainText(okStatus, m_dependencies.m_metrics.toPrometheus()));
    } else if (request.m_path == "/timeline") {
        respondTimeline(request, *responder);
    } else {
        m_dependencies.m_fallbackHandler(std::move(request), responder);
    }
}

void OperatorsPort::respondTimeline(const HttpRequest &request, HttpResponder &responder)
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
                       toJsonLines(m_dependencies.m_events.events(*filter))});
}

} // namespace burdockhead
