#include <burdockhead/agent/endpointclient.h>
#include <burdockhead/http/httprequest.h>

#include <memory>

namespace burdockhead {

namespace {

constexpr int firstErrorStatus = 400;
// An endpoint in cold start may say so by this header with the value "yes".
constexpr std::string_view coldHeader = "X-Cold-Start";

} // namespace

EndpointClient::EndpointClient(std::string url, std::string probePath, std::string bootIdHeader)
    : m_url(std::move(url))
    , m_probePath(std::move(probePath))
    , m_bootIdHeader(std::move(bootIdHeader))
{}

EndpointHealth EndpointClient::healthFrom(const std::vector<HttpHeader> &headers) const
{
    return {findHeader(headers, m_bootIdHeader).value_or(""),
            findHeader(headers, coldHeader) == "yes"};
}

std::uint64_t EndpointClient::start(const EndpointCall &call, EndpointCallHandlers handlers)
{
    HttpCall http;
    http.m_method = call.m_method;
    http.m_url = m_url + call.m_path;
    http.m_body = call.m_body;
    http.m_deadline = call.m_deadline;
    http.m_neverResend = !call.m_repeatable;
    if (!call.m_contentType.empty())
        http.m_headers.push_back({"Content-Type", call.m_contentType});
    if (!call.m_key.empty())
        http.m_headers.push_back({"Idempotency-Key", call.m_key});
    HttpCallHandlers httpHandlers;
    httpHandlers.m_onHead = [this, onHead = std::move(handlers.m_onHead)](
                                int status, const std::vector<HttpHeader> &headers) {
        onHead(status, findHeader(headers, "Content-Type").value_or(""), healthFrom(headers));
    };
    httpHandlers.m_onData = std::move(handlers.m_onData);
    httpHandlers.m_onDone = std::move(handlers.m_onDone);
    return m_http.start(std::move(http), std::move(httpHandlers));
}

void EndpointClient::cancel(std::uint64_t id)
{
    m_http.cancel(id);
}

void EndpointClient::probe(TimePoint deadline,
                           std::function<void(std::optional<EndpointHealth>)> handler)
{
    HttpCall call;
    call.m_url = m_url + m_probePath;
    call.m_deadline = deadline;
    const auto health = std::make_shared<std::optional<EndpointHealth>>();
    HttpCallHandlers handlers;
    handlers.m_onHead = [this, health](int status, const std::vector<HttpHeader> &headers) {
        if (status < firstErrorStatus)
            *health = healthFrom(headers);
    };
    handlers.m_onDone = [health, handler = std::move(handler)](const HttpOutcome &outcome) {
        handler(outcome.m_completed ? *health : std::nullopt);
    };
    m_http.start(std::move(call), std::move(handlers));
}

} // namespace burdockhead
