#include <burdockhead/http/httprequest.h>
#include <burdockhead/net/httpserverconnection.h>
#include <burdockhead/net/httpwriting.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

// Bytes of further requests that are read while one is in work.
constexpr std::size_t maxPendingBytes = 16384;
// What each client may have whatever the others do.
constexpr std::size_t minQueuedBytes = 131072;
// The memory of a body grows in powers of two from here.
constexpr std::size_t minBodyCapacity = 4096;
constexpr int statusTooLarge = 413;
constexpr int statusHeadTooLarge = 431;
constexpr int statusUnavailable = 503;
// How long a closing connection waits for the client to close too, so that a reset doesn't
// destroy the last answer; several round trips of a slow link.
constexpr Milliseconds lingerTime{1000};

} // namespace

HttpServerConnection::HttpServerConnection(std::shared_ptr<HttpServerShared> shared, int descriptor)
    : m_shared(std::move(shared))
    , m_stream(TcpStream::adopt(m_shared->m_loop, descriptor, *this))
    , m_parser(HttpMessageType::Request, *this)
{}

HttpServerConnection::~HttpServerConnection()
{
    // A closed connection may go with the loop, whose timers have gone then.
    if (m_timer != 0)
        m_shared->m_loop.cancel(m_timer);
    if (m_writeTimer != 0)
        m_shared->m_loop.cancel(m_writeTimer);
    if (m_isInBudget)
        m_shared->m_budget->remove(*this);
}

bool HttpServerConnection::start()
{
    m_isInBudget = m_shared->m_budget->add(*this, Clock::now());
    if (m_isInBudget)
        setTimer(m_shared->m_limits.m_idleTimeout);
    return m_isInBudget;
}

void HttpServerConnection::setStage(ConnectionStage stage)
{
    m_shared->m_budget->setStage(*this, stage, Clock::now());
}

std::size_t HttpServerConnection::heldBytes() const
{
    const std::size_t arriving = m_exchange ? 0 : m_parser.headMemory() + m_body.capacity();
    return arriving + m_pending.capacity() + (m_isPaused ? clientReceiveBufferBytes : 0);
}

// Returns false if the budget has no room for what the connection holds now.
bool HttpServerConnection::updateHeld()
{
    return !m_isInBudget || m_shared->m_budget->hold(*this, heldBytes(), Clock::now());
}

void HttpServerConnection::dropReceived()
{
    m_parser.reset();
    m_head = {};
    m_body = std::string();
    m_pending = std::string();
    updateHeld();
}

void HttpServerConnection::closeIfIdle()
{
    if (!mayOweResponse())
        lingerAndClose();
}

bool HttpServerConnection::mayOweResponse() const
{
    if (m_isClosed)
        return false;
    if (isSending())
        return true;
    if (m_isLingering)
        return false;
    return !m_hasAnswered || m_exchange || m_parser.hasBegun() || !m_pending.empty();
}

void HttpServerConnection::setTimer(Milliseconds span)
{
    m_shared->m_loop.cancel(m_timer);
    m_timer = m_shared->m_loop.callAt(Clock::now() + span, [this] {
        m_timer = 0;
        const auto self = shared_from_this();
        if (!m_isLingering && !m_exchange && m_parser.hasBegun())
            refuse(408);
        else
            close();
    });
}

void HttpServerConnection::streamReceived(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (m_isLingering)
        return;
    if (m_exchange || m_isConsuming || !m_pending.empty()) {
        keepForLater(bytes);
        return;
    }
    consume(bytes);
}

// What the client sends ahead waits in the network.
void HttpServerConnection::keepForLater(std::string_view bytes)
{
    m_pending.append(bytes);
    if (m_pending.size() >= maxPendingBytes) {
        m_stream->pauseReading();
        m_isPaused = true;
    }
    if (!updateHeld())
        close();
}

void HttpServerConnection::consume(std::string_view bytes)
{
    m_isConsuming = true;
    while (!bytes.empty() && !m_exchange && !m_isLingering && !m_isClosed) {
        const bool isFirst = !m_parser.hasBegun();
        if (isFirst)
            setStage(ConnectionStage::Receiving);
        const std::size_t used = m_parser.feed(bytes);
        bytes.remove_prefix(used);
        m_hasNoRoom = m_hasNoRoom || !updateHeld();
        if (refuseUnfit())
            break;
        if (m_parser.isComplete())
            startExchange();
        else if (isFirst)
            setTimer(m_shared->m_limits.m_headerTimeout);
        else if (used == 0)
            break;
    }
    if (!m_isLingering && !m_isClosed)
        m_pending.insert(0, bytes);
    m_isConsuming = false;
}

// Refuses the request that is arriving if it can't be taken.
bool HttpServerConnection::refuseUnfit()
{
    if (m_parser.headBytes() > m_shared->m_limits.m_maxHeaderBytes)
        refuse(statusHeadTooLarge);
    else if (m_bodyTooLarge)
        refuse(statusTooLarge);
    else if (m_parser.isMalformed())
        refuse(400);
    else if (m_hasNoRoom)
        refuse(statusUnavailable);
    else
        return false;
    return true;
}

void HttpServerConnection::refuse(int status)
{
    const std::string body =
        m_shared->m_refusalBody ? m_shared->m_refusalBody(status) : std::string();
    HttpHeaders headers = {{"Content-Length", std::to_string(body.size())},
                           {"Connection", "close"}};
    if (!body.empty())
        headers.push_back({"Content-Type", "application/json"});
    if (status == statusUnavailable)
        headers.push_back(
            {"Retry-After", std::to_string(std::chrono::ceil<Seconds>(noRoomRetryDelay).count())});
    m_stream->write(responseHead(status, headers) + body);
    lingerAndClose();
}

void HttpServerConnection::giveUpRequest()
{
    if (!m_exchange) {
        refuse(statusUnavailable);
        return;
    }
    m_pending = std::string();
    updateHeld();
    // From the loop, since the request in work ends with the connection.
    m_shared->m_loop.post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->close();
    });
}

void HttpServerConnection::messageHead(HttpHead head)
{
    m_bodyTooLarge = head.m_contentLength.value_or(0) > m_shared->m_limits.m_maxBodyBytes;
    const auto expect = findHeader(head.m_headers, "Expect");
    if (expect && isSameHeaderName(*expect, "100-continue") && !m_bodyTooLarge)
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    m_head = std::move(head);
}

void HttpServerConnection::messageBody(std::string_view bytes)
{
    if (m_bodyTooLarge || m_hasNoRoom)
        return;
    const std::size_t size = m_body.size() + bytes.size();
    m_bodyTooLarge = size > m_shared->m_limits.m_maxBodyBytes;
    m_hasNoRoom = !m_bodyTooLarge && !growBody(size);
    if (!m_bodyTooLarge && !m_hasNoRoom)
        m_body.append(bytes);
}

// Makes room for a body of that size. What a head announces isn't there yet, so memory grows with
// what comes.
bool HttpServerConnection::growBody(std::size_t bytes)
{
    if (bytes <= m_body.capacity())
        return true;
    const std::size_t expected =
        std::min<std::uint64_t>(m_head.m_contentLength.value_or(m_shared->m_limits.m_maxBodyBytes),
                                m_shared->m_limits.m_maxBodyBytes);
    const std::size_t capacity =
        std::max(bytes, std::min(std::max(2 * m_body.capacity(), minBodyCapacity), expected));
    const std::size_t further = capacity - m_body.capacity();
    if (m_isInBudget && !m_shared->m_budget->hold(*this, heldBytes() + further, Clock::now()))
        return false;
    m_body.reserve(capacity);
    return true;
}

void HttpServerConnection::startExchange()
{
    m_shared->m_loop.cancel(m_timer);
    if (m_shared->m_limits.m_handleTimeout > Milliseconds::zero())
        setTimer(m_shared->m_limits.m_handleTimeout);
    const std::size_t charged = m_parser.headMemory() + m_body.capacity();
    m_shared->m_budget->handOver(*this, charged);
    m_exchange =
        std::make_shared<HttpExchange>(weak_from_this(), std::move(m_head), std::move(m_body),
                                       ClientCharge(m_shared->m_budget, charged));
    m_head = {};
    m_body = std::string();
    setStage(ConnectionStage::InWork);
    ++m_shared->m_openRequests;
    const auto exchange = m_exchange;
    m_shared->m_handler(exchange);
}

bool HttpServerConnection::willClose() const
{
    return m_shared->m_closesAfterAnswers || (m_exchange && !m_exchange->head().m_keepsConnection);
}

void HttpServerConnection::write(std::string_view bytes)
{
    if (m_isClosed)
        return;
    m_stream->write(bytes);
    const std::size_t queued = m_stream->queuedBytes();
    const bool hasRoom = m_shared->m_budget->setQueued(*this, queued);
    if (queued > m_shared->m_limits.m_maxQueuedBytes || (queued > minQueuedBytes && !hasRoom))
        streamEnded(StreamEnd::Failed);
    else if (queued > 0 && m_writeTimer == 0)
        setWriteTimer();
}

// Closes the connection unless the client reads some of what waits for it in time.
void HttpServerConnection::setWriteTimer()
{
    m_shared->m_loop.cancel(m_writeTimer);
    m_writeTimer =
        m_shared->m_loop.callAt(Clock::now() + m_shared->m_limits.m_writeTimeout, [this] {
            m_writeTimer = 0;
            const auto self = shared_from_this();
            close();
        });
}

void HttpServerConnection::streamSent()
{
    const auto self = shared_from_this();
    const std::size_t queued = m_stream->queuedBytes();
    m_shared->m_budget->setQueued(*this, queued);
    if (queued > 0)
        setWriteTimer();
    const auto exchange = m_exchange;
    if (exchange && exchange->m_sent)
        exchange->m_sent();
}

void HttpServerConnection::streamDrained()
{
    const auto self = shared_from_this();
    m_shared->m_budget->setQueued(*this, 0);
    m_shared->m_loop.cancel(m_writeTimer);
    m_writeTimer = 0;
    if (m_isLingering && !m_isClosed)
        setTimer(lingerTime);
    const auto exchange = m_exchange;
    if (exchange && exchange->m_drained)
        exchange->m_drained();
}

void HttpServerConnection::answerEnded(HttpExchange &exchange, bool isWhole)
{
    if (m_exchange.get() != &exchange)
        return;
    const auto self = shared_from_this();
    const bool closes = willClose();
    m_hasAnswered = true;
    m_exchange.reset();
    --m_shared->m_openRequests;
    // What is written of an answer that breaks off still reaches the client, and its end doesn't
    // look like one.
    if (!isWhole || closes)
        lingerAndClose();
    else
        nextRequest();
}

void HttpServerConnection::nextRequest()
{
    m_parser.reset();
    m_bodyTooLarge = false;
    setStage(ConnectionStage::Idle);
    setTimer(m_shared->m_limits.m_idleTimeout);
    if (m_isConsuming || m_pending.empty())
        return;
    // From the loop, so that a client with many requests at hand doesn't deepen the stack.
    m_shared->m_loop.post([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->m_exchange || self->m_isConsuming || self->m_isClosed)
            return;
        std::string pending;
        pending.swap(self->m_pending);
        self->consume(pending);
        self->resumeReading();
    });
}

void HttpServerConnection::resumeReading()
{
    if (!m_isPaused || m_isClosed || m_pending.size() >= maxPendingBytes)
        return;
    m_isPaused = false;
    m_stream->resumeReading();
    if (!updateHeld())
        close();
}

void HttpServerConnection::lingerAndClose()
{
    if (m_isClosed || m_isLingering)
        return;
    m_isLingering = true;
    setStage(ConnectionStage::Closing);
    dropReceived();
    // Bytes that are left unread as the connection closes could destroy the last answer.
    if (std::exchange(m_isPaused, false))
        m_stream->resumeReading();
    m_stream->finishWriting();
    // The client closes when it has read everything; how long it may read nothing is another timer.
    if (isSending())
        m_shared->m_loop.cancel(m_timer);
    else
        setTimer(lingerTime);
}

void HttpServerConnection::streamEnded(StreamEnd)
{
    const auto self = shared_from_this();
    close();
}

void HttpServerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_stream->close();
    m_shared->m_loop.cancel(m_timer);
    m_shared->m_loop.cancel(m_writeTimer);
    if (std::exchange(m_isInBudget, false))
        m_shared->m_budget->remove(*this);
    if (m_exchange) {
        const auto exchange = std::move(m_exchange);
        m_exchange.reset();
        --m_shared->m_openRequests;
        exchange->m_isOver = true;
        const auto gone = std::move(exchange->m_clientGone);
        exchange->m_clientGone = nullptr;
        if (gone)
            gone();
    }
    // From the loop, since the listener may be going over its connections.
    m_shared->m_loop.post([self = shared_from_this()] { self->m_shared->m_forget(*self); });
}

} // namespace burdockhead
