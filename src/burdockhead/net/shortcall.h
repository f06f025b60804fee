#pragma once

#include <burdockhead/net/httpclientpool.h>

#include <functional>
#include <string>
#include <utility>

namespace burdockhead {

// How a short call is made.
struct ShortCallOptions
{
    HttpHeaders m_headers = {};
    // Responses of other programs than this project's are told apart by an id that they repeat. One
    // that repeats none ends its connection.
    ResponseIdentity m_identity = ResponseIdentity::Echo;

    // Returns the options of a call to a process of this project.
    static ShortCallOptions toOwnProcess(HttpHeaders headers = {})
    {
        return {std::move(headers), ResponseIdentity::Order};
    }
};

// One request between processes of the fleet, or to an engine, with a short answer.
class ShortCall : private HttpCallObserver
{
public:
    using Done = std::function<void(ShortCall &)>;

    // Sends the request; `done` is called once, unless the call is destroyed before.
    ShortCall(EventLoop &loop, HttpClientPool &client, const SocketAddress &address,
              const std::string &method, const std::string &target, const std::string &body,
              TimePoint deadline, Done done, const ShortCallOptions &options = {});
    ~ShortCall();
    ShortCall(const ShortCall &) = delete;
    ShortCall &operator=(const ShortCall &) = delete;

    const SocketAddress &address() const { return m_address; }

    // The answer's status; 0 when there was none.
    int status() const { return m_status; }
    const std::string &body() const { return m_body; }

    // Why there was no answer, in a word or two for a line.
    const char *failure() const { return m_failure; }
    bool isDone() const { return m_isDone; }

private:
    void callHead(const HttpHead &head) override { m_status = head.m_status; }
    void callBody(std::string_view bytes) override;
    void callEnded(CallEnd end) override;
    void finish();

    EventLoop &m_loop;
    const SocketAddress m_address;
    Done m_done;
    std::unique_ptr<HttpCall> m_call;
    TimerId m_timer = 0;
    int m_status = 0;
    const char *m_failure = "";
    std::string m_body;
    bool m_isDone = false;
};

} // namespace burdockhead
