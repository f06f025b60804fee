#pragma once

#include <burdockhead/net/tcpstream.h>

#include <asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace burdockhead::test {

// What an unsound endpoint sends.
enum class UnsoundBytes {
    RepeatedAnswer, // Sends its last answer on the connection once more before the next.
    // Refuses every other request on a connection, and sends that refusal once more before the
    // answer to the next, which it runs.
    RepeatedRefusal,
    EndlessHeader,  // A header whose value never ends.
    EndlessInterim, // Interim answers without end.
    EndlessBody,    // A body without a length.
    EndlessChunks,  // Chunks without end.
    EndlessChunkExtension,
    EndlessEvent,      // An event stream without an event boundary.
    EndlessEvents,     // An event stream of sound events.
    EndlessLongBody,   // A body that is announced as longer than any disk.
    EndlessSmallParts, // Chunks of one byte.
    // Answers with neither a length nor chunks, which end with their connection.
    UnframedAnswer,
    UnframedReset,        // The connection is reset after a part of the answer.
    UnframedStream,       // Events 1 to 6 of EndpointStandIn.
    UnframedPartialEvent, // Events 1 to 3 and a part of the next.
    GivenAnswer,          // Answers with what setAnswer() says.
};

// An endpoint of the service "app", or of "llm" for events, that speaks bytes instead of HTTP. What
// has no end goes on until the other side closes the connection.
class UnsoundEndpoint
{
public:
    UnsoundEndpoint(EventLoop &loop, UnsoundBytes kind, bool statesRequest = true);
    ~UnsoundEndpoint();
    UnsoundEndpoint(const UnsoundEndpoint &) = delete;
    UnsoundEndpoint &operator=(const UnsoundEndpoint &) = delete;

    // Its entry for service discovery, as JSON text.
    std::string entry(const std::string &service) const;

    // Sets the status line with the reason, and the rest of the response from its further headers
    // on; those that name the request go between them.
    void setAnswer(std::string statusLine, std::string rest);

    std::size_t requests() const { return m_requests; }

    // Returns on how many connections requests have come.
    std::size_t connections() const { return m_connections.size(); }

    // Returns whether, and how often, it ran the request; counted for RepeatedRefusal only.
    bool hasRun(const std::string &requestId) const { return m_ranRequests.contains(requestId); }
    std::size_t runs(const std::string &requestId) const { return m_ranRequests.count(requestId); }

private:
    struct Connection : TcpStreamOwner
    {
        void streamReceived(std::string_view bytes) override;
        void streamEnded(StreamEnd) override;

        UnsoundEndpoint *m_endpoint = nullptr;
        std::shared_ptr<TcpStream> m_stream;
        std::string m_lastAnswer;
        std::uint64_t m_nextEvent = 1;
        bool m_isSending = false;
    };

    void accept();
    void answer(Connection &connection, std::string_view request);
    void answerUnframed(Connection &connection, const std::string &head, const std::string &id);
    void sendMore();

    EventLoop &m_loop;
    const UnsoundBytes m_kind;
    const bool m_statesRequest;
    SocketAddress m_address;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::unique_ptr<Connection>> m_connections;
    TimerId m_timer = 0;
    std::size_t m_requests = 0;
    std::multiset<std::string> m_ranRequests;
    std::string m_statusLine;
    std::string m_rest;
};

} // namespace burdockhead::test
