#pragma once

#include <burdockhead/admission/endpointhealth.h>
#include <burdockhead/agent/endpointcall.h>
#include <burdockhead/http/httpclient.h>

#include <functional>
#include <string>

namespace burdockhead {

// Callbacks for the response to a call; they run on the HTTP client's thread.
struct EndpointCallHandlers
{
    std::function<void(int status, const std::string &contentType, const EndpointHealth &)>
        m_onHead;
    std::function<void(std::string_view data)> m_onData;
    std::function<void(const HttpOutcome &)> m_onDone; // Called exactly once, and last.
};

// HTTP client for the endpoint of this VM.
class EndpointClient
{
public:
    // The URL has no trailing slash.
    EndpointClient(std::string url, std::string probePath, std::string bootIdHeader);

    // Sends a request; returns its id for cancel().
    std::uint64_t start(const EndpointCall &call, EndpointCallHandlers handlers);

    // Cancels a request by closing its connection.
    void cancel(std::uint64_t callId);

    // Requests the health of the endpoint; none if it did not respond in time. The body may be a
    // JSON object with "cold" and "boot_id". It may be outdated: its "cold" counts only if its
    // boot id equals that of the response head.
    void probe(TimePoint deadline, std::function<void(std::optional<EndpointHealth>)> handler);

private:
    std::string bootIdFrom(const std::vector<HttpHeader> &headers) const;

    std::string m_url;
    std::string m_probePath;
    std::string m_bootIdHeader;
    HttpClient m_http;
};

} // namespace burdockhead
