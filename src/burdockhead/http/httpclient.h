#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/http/httpresponse.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// One call to an HTTP server.
struct HttpClientCall
{
    std::string m_method = "GET";
    std::string m_url;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    TimePoint m_deadline;
    // Uses a connection of its own that is closed afterwards. The library sends a call without a
    // body a second time when a reused connection breaks; one with a body never.
    bool m_neverResend = false;
};

// How a call ended.
struct HttpOutcome
{
    bool m_completed = false; // The whole response arrived.
    bool m_cancelled = false; // cancel() ended it.
    bool m_sent = false;      // The server may have seen the call.
    int m_status = 0;         // 0 when no response head arrived.
    std::string m_reason;     // Why it did not complete.
};

// What a call reports, on the client's thread. Any may be left empty.
struct HttpCallHandlers
{
    std::function<void(int status, const std::vector<HttpHeader> &)> m_onHead;
    std::function<void(std::string_view data)> m_onData;
    std::function<void(const HttpOutcome &)> m_onDone; // Exactly once, and last.
};

// Makes HTTP calls side by side on one thread of its own.
class HttpClient
{
public:
    HttpClient();
    // Cancels open calls, reports their ends and joins the thread.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a call; the number names it for cancel().
    std::uint64_t start(HttpClientCall call, HttpCallHandlers handlers);

    // Ends a call early by closing its connection; no effect once it has ended.
    void cancel(std::uint64_t id);

    // Makes a call and waits for its end. Not to be used from a handler. None when no whole
    // response arrived; the failure says why.
    std::optional<HttpResponse> callAndWait(HttpClientCall call, Failure &failure);

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
