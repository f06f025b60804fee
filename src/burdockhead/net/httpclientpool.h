#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/net/eventloop.h>
#include <burdockhead/net/httphead.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace burdockhead {

// How a call ended.
enum class CallEnd {
    Complete,  // The whole answer has come.
    NotSent,   // No byte of the request left this process.
    Broken,    // The connection failed or ended before the answer was whole.
    Malformed, // What came is not an answer in HTTP.
};

// Receives the answer to a call. The call may be destroyed from within each of these.
class HttpCallObserver
{
public:
    virtual void callHead(const HttpHead &head) = 0;
    virtual void callBody(std::string_view bytes) = 0;
    virtual void callEnded(CallEnd end) = 0;

    // The head of a response to another request, which is skipped: a second, late copy.
    virtual void callStrayHead(const HttpHead &) {}

protected:
    ~HttpCallObserver() = default;
};

// How the response to a call is told from a late copy of a response to another one.
enum class ResponseIdentity : std::uint8_t {
    None,  // Not at all. The call gets a connection that carries no other call.
    Echo,  // By a header of the request that the response repeats.
    Order, // By its order on the connection: the peer is a process of this project.
};

// How a call is made.
struct HttpCallOptions
{
    TimePoint m_connectBy;          // When a connection that isn't made yet is given up.
    Milliseconds m_maxIdle{0};      // A kept connection that was idle for longer isn't used.
    bool m_hasNoAnswerBody = false; // The request is a HEAD.
    ResponseIdentity m_identity = ResponseIdentity::None;
    HttpHeader m_echo = {}; // For ResponseIdentity::Echo.
};

// A call in progress; destroying it resets its connection.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    // Whether a byte of the request has left this process.
    virtual bool hasSent() const = 0;

    // Stops reading the response, so that the rest of it waits at the peer, and goes on.
    virtual void pauseReading() = 0;
    virtual void resumeReading() = 0;

    // Closes the connection after this call, whatever the peer says.
    virtual void useConnectionOnce() = 0;
};

// An HTTP/1.1 client with kept connections. A request is written once and never again. A peer may
// send a response twice, the copy after the next request; so a connection never carries two calls
// whose responses can't be told apart.
class HttpClientPool
{
public:
    explicit HttpClientPool(EventLoop &loop);
    ~HttpClientPool();
    HttpClientPool(const HttpClientPool &) = delete;
    HttpClientPool &operator=(const HttpClientPool &) = delete;

    // Sends a request given as its bytes. The observer hears nothing before this returns.
    std::unique_ptr<HttpCall> call(const SocketAddress &address, const std::string &request,
                                   const HttpCallOptions &options, HttpCallObserver &observer);

    // Makes a connection and keeps it for a later call. Then tells whether it was made until that
    // time, but not before this returns.
    void connect(const SocketAddress &address, TimePoint connectBy,
                 std::function<void(bool)> onDone);

    // Closes the idle connections to an address.
    void dropIdle(const SocketAddress &address);

    // Connections that were made since the start.
    std::size_t connectionsMade() const;

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
