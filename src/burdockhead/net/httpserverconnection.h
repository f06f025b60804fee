#pragma once

#include <burdockhead/net/httplistener.h>
#include <burdockhead/net/httpmessageparser.h>
#include <burdockhead/net/tcpstream.h>

namespace burdockhead {

// Bytes that the kernel keeps of a client that isn't read.
constexpr std::size_t clientReceiveBufferBytes = 65536;

// What the connections of one listener share. A connection that is being closed may outlive the
// listener within the loop.
struct HttpServerShared
{
    EventLoop &m_loop;
    HttpExchangeHandler m_handler;
    const ClientBudgetPointer m_budget;
    HttpServerLimits m_limits = {};
    bool m_closesAfterAnswers = false;
    std::size_t m_openRequests = 0;
    std::function<void(HttpServerConnection &)> m_forget; // Drops a closed connection.
    std::function<std::string(int status)> m_refusalBody; // May be empty.
};

// One client's connection: one request after the other, each answered before the next.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>,
                             private BudgetedConnection,
                             private TcpStreamOwner,
                             private HttpMessageSink
{
public:
    HttpServerConnection(std::shared_ptr<HttpServerShared> shared, int descriptor);
    ~HttpServerConnection();

    // Starts the timer of the first request; false, and the connection is closed, if the budget has
    // no room for it.
    bool start();

    // Closes the connection if no request is in work and none has begun to arrive, unless it is
    // still to get its first one or to send some of a response.
    void closeIfIdle();

    // Whether a request is in work, has begun to arrive, or would be the connection's first, or a
    // response is being sent.
    bool mayOweResponse() const;

    // Whether some of a response still waits for the client to read.
    bool isSending() const { return !m_isClosed && queuedBytes() > 0; }

    void write(std::string_view bytes);
    std::size_t queuedBytes() const { return m_stream->queuedBytes(); }
    void answerEnded(HttpExchange &exchange, bool isWhole);
    bool willClose() const;

private:
    void streamReceived(std::string_view bytes) override;
    void streamSent() override;
    void streamDrained() override;
    void streamEnded(StreamEnd end) override;
    void messageHead(HttpHead head) override;
    void messageBody(std::string_view bytes) override;
    void giveUpRequest() override;
    void giveUpConnection() override { close(); }

    void consume(std::string_view bytes);
    bool refuseUnfit();
    void refuse(int status);
    void keepForLater(std::string_view bytes);
    std::size_t heldBytes() const;
    bool updateHeld();
    bool growBody(std::size_t bytes);
    void dropReceived();
    void setStage(ConnectionStage stage);
    void startExchange();
    void nextRequest();
    void resumeReading();
    void lingerAndClose();
    void close();
    void setTimer(Milliseconds span);
    void setWriteTimer();

    const std::shared_ptr<HttpServerShared> m_shared;
    std::shared_ptr<TcpStream> m_stream;
    HttpMessageParser m_parser;
    HttpHead m_head;
    std::string m_body;
    std::string m_pending;   // Came while a request was in work.
    bool m_isPaused = false; // Isn't read, since enough is pending.
    std::shared_ptr<HttpExchange> m_exchange;
    TimerId m_timer = 0;
    TimerId m_writeTimer = 0; // Set while something waits for the client.
    bool m_hasAnswered = false;
    bool m_bodyTooLarge = false;
    bool m_hasNoRoom = false; // The budget has none for the request.
    bool m_isInBudget = false;
    bool m_isConsuming = false;
    bool m_isLingering = false; // Writes nothing new; waits for the client to read and to close.
    bool m_isClosed = false;
};

} // namespace burdockhead
