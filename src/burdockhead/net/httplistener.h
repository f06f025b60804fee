#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/net/clientbudget.h>
#include <burdockhead/net/eventloop.h>
#include <burdockhead/net/httpexchange.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace burdockhead {

// When a request that found no room may come again: later than others may hold memory without
// headway.
constexpr Milliseconds noRoomRetryDelay{1000};

// What clients may send, and how long they may take.
struct HttpServerLimits
{
    std::size_t m_maxHeaderBytes = 16384;
    std::size_t m_maxBodyBytes = 4 << 20;
    Milliseconds m_headerTimeout{3000};
    Milliseconds m_idleTimeout{15000};
    Milliseconds m_writeTimeout{30000}; // For which a client may read nothing that waits for it.
    Milliseconds m_handleTimeout{0};    // From a request to the end of its answer; 0 for no limit.
    std::size_t m_maxQueuedBytes = 4 << 20; // Of an answer, for a client that doesn't read.

    friend bool operator==(const HttpServerLimits &, const HttpServerLimits &) = default;
};

// An HTTP/1.1 server on one address. It reads on while a request is in work, so that it
// notices when the client leaves.
class HttpListener
{
public:
    // Listeners of a process share a budget; without one, this one's clients are bounded only by
    // the budget's defaults.
    HttpListener(EventLoop &loop, HttpExchangeHandler handler, ClientBudgetPointer budget = {});
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    // Opens the port; false with the reason when it can't be opened.
    bool start(const SocketAddress &address, std::string &error);

    // The budget gets room for a body of the limit if it has none.
    void setLimits(const HttpServerLimits &limits);

    // Sets what makes the bodies, in JSON, of the answers to requests that are refused before they
    // reach the handler. Without it they have none.
    void setRefusalBody(std::function<std::string(int status)> refusalBody);

    // From now on each answer closes its connection.
    void closeAfterAnswers();

    // Closes the kept connections on which no request is in work or arriving. One that has just
    // been made isn't idle: its first request may be on the way.
    void closeIdle();

    // Accepts the connections that clients have made already and refuses further ones.
    void stopAccepting();

    // Requests in work.
    std::size_t openRequests() const;

    // Whether a client may still be waiting for a response: on a request in work or arriving, or on
    // the first one of a connection.
    bool mayOweResponses() const;

    // Whether some of a response still waits for its client to read.
    bool isSendingResponses() const;

private:
    friend class HttpServerConnection;
    struct Private;
    std::shared_ptr<Private> m_d;
};

} // namespace burdockhead
