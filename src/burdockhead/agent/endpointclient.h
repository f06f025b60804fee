#pragma once

#include <burdockhead/admission/endpointhealth.h>
#include <burdockhead/agent/endpointcall.h>
#include <burdockhead/http/httpclient.h>

#include <functional>
#include <string>

namespace burdockhead {

// What an endpoint's answer to a request reports, on the HTTP client's thread.
struct EndpointCallHandlers
{
    std::function<void(int status, const std::string &contentType, const EndpointHealth &)>
        m_onHead;
    std::function<void(std::string_view data)> m_onData;
    std::function<void(const HttpOutcome &)> m_onDone; // Exactly once, and last.
};

// Speaks HTTP to the one endpoint of this VM.
class EndpointClient
{
public:
    // The URL has no trailing slash.
    EndpointClient(std::string url, std::string probePath, std::string bootIdHeader);

    // Hands a request over; the number names it for cancel().
    std::uint64_t start(const EndpointCall &call, EndpointCallHandlers handlers);

    // Closes the request's connection.
    void cancel(std::uint64_t id);

    // Asks the endpoint how it is; none when it did not answer in time. The answer may be a
    // JSON object with "cold" and "boot_id", which may lag: what it says counts only while
    // its boot id is that of the answer's head.
    void probe(TimePoint deadline, std::function<void(std::optional<EndpointHealth>)> handler);

private:
    std::string bootIdFrom(const std::vector<HttpHeader> &headers) const;

    std::string m_url;
    std::string m_probePath;
    std::string m_bootIdHeader;
    HttpClient m_http;
};

} // namespace burdockhead
