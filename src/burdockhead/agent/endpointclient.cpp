#include <burdockhead/agent/endpointclient.h>
#include <burdockhead/codec/boundedjson.h>
#include <burdockhead/http/httprequest.h>

#include <nlohmann/json.hpp>

#include <memory>

namespace burdockhead {

namespace {

constexpr int minErrorStatus = 400;
// A longer body of a probe's response isn't kept, and the probe has failed.
constexpr std::size_t maxProbeBytes = 65536;

// A probe's response while it is being received.
struct ProbeResponse
{
    std::optional<EndpointHealth> m_health;
    std::string m_body;
    bool m_isTooLong = false;
};

std::string toText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// Reads the cold state from the body. A state from before the current start is outdated, and the
// endpoint may be in cold start since; so it counts as cold.
void readColdState(const std::string &body, EndpointHealth &health)
{
    const auto report = parseBoundedJsonOrDiscard(body);
    if (!report.is_object() || !report.contains("cold") || !report["cold"].is_boolean())
        return;
    const bool isStale = report.contains("boot_id") && toText(report["boot_id"]) != health.m_bootId;
    health.m_isReportedCold = isStale || report["cold"].get<bool>();
}

} // namespace

EndpointClient::EndpointClient(std::string url, std::string probePath, std::string bootIdHeader)
    : m_url(std::move(url))
    , m_probePath(std::move(probePath))
    , m_bootIdHeader(std::move(bootIdHeader))
{}

std::string EndpointClient::bootIdFrom(const std::vector<HttpHeader> &headers) const
{
    return findHeader(headers, m_bootIdHeader).value_or("");
}

// Responses name no request, so that a late copy of another one would be taken for this one's.
std::uint64_t EndpointClient::start(const EndpointCall &call, EndpointCallHandlers handlers)
{
    HttpClientCall http;
    http.m_method = call.m_method;
    http.m_url = m_url + call.m_path;
    http.m_body = call.m_body;
    http.m_deadline = call.m_deadline;
    http.m_neverResend = true;
    if (!call.m_contentType.empty())
        http.m_headers.push_back({"Content-Type", call.m_contentType});
    if (!call.m_idempotencyKey.empty())
        http.m_headers.push_back({"Idempotency-Key", call.m_idempotencyKey});
    HttpCallHandlers httpHandlers;
    httpHandlers.m_onHead = [this, onHead = std::move(handlers.m_onHead)](
                                int status, const std::vector<HttpHeader> &headers) {
        onHead(status, findHeader(headers, "Content-Type").value_or(""),
               {bootIdFrom(headers), std::nullopt});
    };
    httpHandlers.m_onData = std::move(handlers.m_onData);
    httpHandlers.m_onDone = std::move(handlers.m_onDone);
    return m_http.start(std::move(http), std::move(httpHandlers));
}

void EndpointClient::cancel(std::uint64_t callId)
{
    m_http.cancel(callId);
}

void EndpointClient::probe(TimePoint deadline,
                           std::function<void(std::optional<EndpointHealth>)> handler)
{
    HttpClientCall call;
    call.m_url = m_url + m_probePath;
    call.m_deadline = deadline;
    call.m_neverResend = true;
    const auto response = std::make_shared<ProbeResponse>();
    HttpCallHandlers handlers;
    handlers.m_onHead = [this, response](int status, const std::vector<HttpHeader> &headers) {
        if (status < minErrorStatus)
            response->m_health = EndpointHealth{bootIdFrom(headers), std::nullopt};
    };
    handlers.m_onData = [response](std::string_view data) {
        response->m_isTooLong |= response->m_body.size() + data.size() > maxProbeBytes;
        if (!response->m_isTooLong)
            response->m_body.append(data);
    };
    handlers.m_onDone = [response, handler = std::move(handler)](const HttpOutcome &outcome) {
        if (response->m_health)
            readColdState(response->m_body, *response->m_health);
        const bool isUsable = outcome.m_completed && !response->m_isTooLong;
        handler(isUsable ? response->m_health : std::nullopt);
    };
    m_http.start(std::move(call), std::move(handlers));
}

} // namespace burdockhead
