#include <burdockhead/http/httprequest.h>
#include <burdockhead/http/responsestatus.h>
#include <burdockhead/net/httpclientpool.h>
#include <burdockhead/net/httpmessageparser.h>
#include <burdockhead/net/httpwriting.h>
#include <burdockhead/net/tcpstream.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace burdockhead {

namespace {

// More interim answers than this to one request aren't waited for.
constexpr unsigned maxInterimAnswers = 8;
// Kept for as long at the most when the peer doesn't say how long it keeps a connection.
constexpr Milliseconds defaultIdleTime{4000};
// Responses to other requests that a call skips, and bytes of their bodies.
constexpr unsigned maxStrayResponses = 4;
constexpr std::size_t maxStrayBytes = 4194304;
// A connection isn't kept after that many calls, since it remembers their identities.
constexpr std::size_t maxCallsPerConnection = 512;
// Taken off the time that the peer says, which counts from its own clock and rounds.
constexpr Milliseconds idleMargin{1000};

class ClientConnection;

using IdleConnections = std::map<SocketAddress, std::vector<std::shared_ptr<ClientConnection>>>;

// One connection: connecting, in a call, or idle.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>,
                         private TcpStreamOwner,
                         private HttpMessageSink
{
public:
    ClientConnection(EventLoop &loop, const SocketAddress &address, IdleConnections &idle)
        : m_loop(loop)
        , m_address(address)
        , m_idle(idle)
        , m_parser(HttpMessageType::Response, *this)
    {}
    ~ClientConnection() { m_loop.cancel(m_timer); }

    void open(TimePoint connectBy, std::function<void(bool)> onConnected = {});
    std::uint64_t begin(std::string_view request, const HttpCallOptions &options,
                        HttpCallObserver &observer);
    void cancel(std::uint64_t callNumber);
    void close();

    bool usableAt(TimePoint now, const HttpCallOptions &options) const
    {
        return now < m_idleUntil && now - m_idleSince <= options.m_maxIdle && mayCarry(options);
    }
    bool hasSent() const { return m_stream->sentBytes() > m_sentBeforeCall; }
    void useOnce(std::uint64_t callNumber);
    void setReading(std::uint64_t callNumber, bool isReading);

private:
    void streamConnected() override;
    void streamReceived(std::string_view bytes) override;
    void streamEnded(StreamEnd end) override;
    void messageHead(HttpHead head) override;
    void messageBody(std::string_view bytes) override;

    bool mayCarry(const HttpCallOptions &options) const;
    std::string echoOf(const HttpHead &head) const;
    void end(CallEnd end);
    void complete(bool hasExtraBytes);
    void becomeIdle();
    void leaveIdle();

    EventLoop &m_loop;
    const SocketAddress m_address;
    IdleConnections &m_idle;
    std::shared_ptr<TcpStream> m_stream;
    HttpMessageParser m_parser;
    HttpCallObserver *m_observer = nullptr;
    std::function<void(bool)> m_onConnected; // Set while the connection is made without a call.
    TimerId m_timer = 0;
    TimePoint m_idleSince;
    TimePoint m_idleUntil;
    Milliseconds m_idleTime = defaultIdleTime;
    bool m_isInterim = false; // The head was of a 1xx answer.
    unsigned m_interimAnswers = 0;
    bool m_isStray = false; // The head was of a response to another request.
    unsigned m_strayResponses = 0;
    std::size_t m_strayBytes = 0;
    HttpCallOptions m_options;         // Of the current or last call.
    std::vector<std::size_t> m_echoes; // Hashes of what identified the calls so far.
    bool m_keeps = false;              // The peer will read another request.
    bool m_isUsedOnce = false;
    bool m_isIdle = false;
    std::uint64_t m_sentBeforeCall = 0; // Bytes sent on this connection for earlier calls.
    std::uint64_t m_callNumber = 0;
};

void ClientConnection::open(TimePoint connectBy, std::function<void(bool)> onConnected)
{
    m_onConnected = std::move(onConnected);
    m_stream = TcpStream::connect(m_loop, m_address, *this);
    m_timer = m_loop.callAt(connectBy, [this] {
        m_timer = 0;
        end(CallEnd::NotSent);
    });
}

void ClientConnection::streamConnected()
{
    m_loop.cancel(m_timer);
    if (!m_onConnected)
        return;
    const auto self = shared_from_this();
    const auto onConnected = std::exchange(m_onConnected, {});
    becomeIdle();
    onConnected(true);
}

std::size_t hashOf(const HttpHeader &echo)
{
    return std::hash<std::string>()(echo.m_value);
}

// A late copy of the response to an earlier call must not be taken for the response to this one.
bool ClientConnection::mayCarry(const HttpCallOptions &options) const
{
    if (m_callNumber == 0)
        return true;
    if (options.m_identity != m_options.m_identity)
        return false;
    switch (options.m_identity) {
    case ResponseIdentity::None:
        return false;
    case ResponseIdentity::Echo:
        return std::find(m_echoes.begin(), m_echoes.end(), hashOf(options.m_echo))
               == m_echoes.end();
    case ResponseIdentity::Order:
        return true;
    }
    return false;
}

std::uint64_t ClientConnection::begin(std::string_view request, const HttpCallOptions &options,
                                      HttpCallObserver &observer)
{
    leaveIdle();
    m_observer = &observer;
    m_options = options;
    m_keeps = false;
    m_isUsedOnce = options.m_identity == ResponseIdentity::None;
    if (options.m_identity == ResponseIdentity::Echo) {
        m_echoes.push_back(hashOf(options.m_echo));
        m_isUsedOnce = m_echoes.size() >= maxCallsPerConnection;
    }
    m_interimAnswers = 0;
    m_isStray = false;
    m_strayResponses = 0;
    m_strayBytes = 0;
    m_sentBeforeCall = m_stream->sentBytes();
    m_parser.reset(options.m_hasNoAnswerBody);
    m_stream->write(request);
    return ++m_callNumber;
}

// A connection may have gone on to another call since. Reset, so that an endpoint that was paused
// doesn't begin to work on the request when it resumes.
void ClientConnection::cancel(std::uint64_t callNumber)
{
    if (m_observer == nullptr || m_callNumber != callNumber)
        return;
    m_stream->abort();
    close();
}

void ClientConnection::useOnce(std::uint64_t callNumber)
{
    if (m_callNumber == callNumber)
        m_isUsedOnce = true;
}

void ClientConnection::setReading(std::uint64_t callNumber, bool isReading)
{
    if (m_observer == nullptr || m_callNumber != callNumber)
        return;
    if (isReading)
        m_stream->resumeReading();
    else
        m_stream->pauseReading();
}

void ClientConnection::close()
{
    m_observer = nullptr;
    m_loop.cancel(m_timer);
    if (m_stream)
        m_stream->close();
    leaveIdle();
}

void ClientConnection::streamReceived(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (m_observer == nullptr) {
        close(); // Bytes that no request asked for.
        return;
    }
    while (!bytes.empty() && m_observer != nullptr) {
        bytes.remove_prefix(m_parser.feed(bytes));
        if (m_observer == nullptr)
            return;
        if (m_parser.isMalformed() || m_interimAnswers > maxInterimAnswers
            || m_strayResponses > maxStrayResponses || m_strayBytes > maxStrayBytes) {
            end(CallEnd::Malformed);
            return;
        }
        if (!m_parser.isComplete())
            continue;
        if (m_isInterim || std::exchange(m_isStray, false))
            m_parser.reset(m_options.m_hasNoAnswerBody);
        else
            complete(!bytes.empty());
    }
}

void ClientConnection::streamEnded(StreamEnd streamEnd)
{
    const auto self = shared_from_this();
    if (m_observer == nullptr && !m_onConnected) {
        close();
        return;
    }
    if (!hasSent()) {
        end(CallEnd::NotSent);
        return;
    }
    if (streamEnd == StreamEnd::Finished && m_parser.hasHead()) {
        m_parser.finish();
        if (m_observer != nullptr && m_parser.isComplete() && !m_isStray) {
            m_keeps = false;
            complete(false);
            return;
        }
    }
    if (m_observer != nullptr)
        end(CallEnd::Broken);
}

// Returns what a response repeats of its request; empty if nothing.
std::string ClientConnection::echoOf(const HttpHead &head) const
{
    return findHeader(head.m_headers, m_options.m_echo.m_name).value_or("");
}

void ClientConnection::messageHead(HttpHead head)
{
    m_isInterim = static_cast<unsigned>(head.m_status) < firstFinalStatus;
    if (m_isInterim) {
        ++m_interimAnswers;
        return;
    }
    const bool isIdentified = m_options.m_identity == ResponseIdentity::Echo;
    const std::string echo = isIdentified ? echoOf(head) : std::string();
    m_isStray = !echo.empty() && echo != m_options.m_echo.m_value;
    if (m_isStray) {
        // The peer's answers are out of step; no other call gets this connection.
        m_isUsedOnce = true;
        ++m_strayResponses;
        if (m_observer != nullptr)
            m_observer->callStrayHead(head);
        return;
    }
    m_keeps = head.m_keepsConnection && !head.m_endsWithConnection;
    if (const auto seconds = keepAliveSeconds(head.m_headers)) {
        const Milliseconds told = Seconds(*seconds);
        m_idleTime = std::min(defaultIdleTime, std::max(told - idleMargin, told / 2));
    }
    // A second copy of a response that doesn't say whose it is would be taken for the next one.
    if (isIdentified && echo.empty())
        m_isUsedOnce = true;
    if (m_observer != nullptr)
        m_observer->callHead(head);
}

void ClientConnection::messageBody(std::string_view bytes)
{
    if (m_isStray)
        m_strayBytes += bytes.size();
    else if (m_observer != nullptr)
        m_observer->callBody(bytes);
}

void ClientConnection::end(CallEnd callEnd)
{
    const auto self = shared_from_this();
    HttpCallObserver *observer = m_observer;
    const auto onConnected = std::exchange(m_onConnected, {});
    close();
    if (onConnected)
        onConnected(false);
    if (observer != nullptr)
        observer->callEnded(callEnd);
}

void ClientConnection::complete(bool hasExtraBytes)
{
    HttpCallObserver *observer = m_observer;
    m_observer = nullptr;
    m_stream->resumeReading();
    if (m_keeps && !m_isUsedOnce && !hasExtraBytes)
        becomeIdle();
    else
        close();
    observer->callEnded(CallEnd::Complete);
}

void ClientConnection::becomeIdle()
{
    m_isIdle = true;
    m_idleSince = Clock::now();
    m_idleUntil = m_idleSince + m_idleTime;
    m_idle[m_address].push_back(shared_from_this());
    m_loop.cancel(m_timer);
    m_timer = m_loop.callAt(m_idleUntil, [this] {
        m_timer = 0;
        const auto self = shared_from_this();
        close();
    });
}

void ClientConnection::leaveIdle()
{
    if (!m_isIdle)
        return;
    m_isIdle = false;
    m_loop.cancel(m_timer);
    const auto found = m_idle.find(m_address);
    if (found == m_idle.end())
        return;
    auto &connections = found->second;
    connections.erase(std::remove(connections.begin(), connections.end(), shared_from_this()),
                      connections.end());
    if (connections.empty())
        m_idle.erase(found);
}

class PooledCall : public HttpCall
{
public:
    PooledCall(std::shared_ptr<ClientConnection> connection, std::uint64_t number)
        : m_connection(std::move(connection))
        , m_number(number)
    {}
    ~PooledCall() override { m_connection->cancel(m_number); }
    PooledCall(const PooledCall &) = delete;
    PooledCall &operator=(const PooledCall &) = delete;

    bool hasSent() const override { return m_connection->hasSent(); }
    void pauseReading() override { m_connection->setReading(m_number, false); }
    void resumeReading() override { m_connection->setReading(m_number, true); }
    void useConnectionOnce() override { m_connection->useOnce(m_number); }

private:
    const std::shared_ptr<ClientConnection> m_connection;
    const std::uint64_t m_number;
};

} // namespace

struct HttpClientPool::Private
{
    explicit Private(EventLoop &loop)
        : m_loop(loop)
    {}

    std::shared_ptr<ClientConnection> findIdle(const SocketAddress &address,
                                               const HttpCallOptions &options);

    EventLoop &m_loop;
    IdleConnections m_idle;
    std::size_t m_connectionsMade = 0;
    std::uint64_t m_lastAttempt = 0;
    std::map<std::uint64_t, std::shared_ptr<ClientConnection>> m_connecting; // For no call yet.
};

// Prefers the connection that was used last, so that those beyond the need time out.
std::shared_ptr<ClientConnection> HttpClientPool::Private::findIdle(const SocketAddress &address,
                                                                    const HttpCallOptions &options)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    const auto &connections = found->second;
    const auto usable = std::find_if(
        connections.rbegin(), connections.rend(),
        [&, now = Clock::now()](const auto &each) { return each->usableAt(now, options); });
    return usable == connections.rend() ? nullptr : *usable;
}

HttpClientPool::HttpClientPool(EventLoop &loop)
    : m_d(std::make_unique<Private>(loop))
{}

HttpClientPool::~HttpClientPool() = default;

std::unique_ptr<HttpCall> HttpClientPool::call(const SocketAddress &address,
                                               const std::string &request,
                                               const HttpCallOptions &options,
                                               HttpCallObserver &observer)
{
    auto connection = m_d->findIdle(address, options);
    if (!connection) {
        connection = std::make_shared<ClientConnection>(m_d->m_loop, address, m_d->m_idle);
        connection->open(options.m_connectBy);
        ++m_d->m_connectionsMade;
    }
    const auto number = connection->begin(request, options, observer);
    return std::make_unique<PooledCall>(connection, number);
}

void HttpClientPool::connect(const SocketAddress &address, TimePoint connectBy,
                             std::function<void(bool)> onDone)
{
    const auto connection = std::make_shared<ClientConnection>(m_d->m_loop, address, m_d->m_idle);
    const auto number = ++m_d->m_lastAttempt;
    m_d->m_connecting.emplace(number, connection);
    connection->open(connectBy, [this, number, onDone = std::move(onDone)](bool isConnected) {
        m_d->m_connecting.erase(number);
        onDone(isConnected);
    });
    ++m_d->m_connectionsMade;
}

void HttpClientPool::dropIdle(const SocketAddress &address)
{
    const auto found = m_d->m_idle.find(address);
    if (found == m_d->m_idle.end())
        return;
    const auto connections = found->second;
    for (const auto &connection : connections)
        connection->close();
}

std::size_t HttpClientPool::connectionsMade() const
{
    return m_d->m_connectionsMade;
}

} // namespace burdockhead
