#include <burdockhead/net/tcpstream.h>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace burdockhead {

namespace {

// Small, since each of a few hundred connections has one.
constexpr std::size_t readBufferBytes = 4096;
// Seconds of silence before the first keep-alive probe, between probes, and their number: a
// dead peer is noticed within about three seconds, the platform's span of stability.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
// Milliseconds that sent bytes may stay unacknowledged; the same span.
constexpr unsigned unacknowledgedMilliseconds = 3000;
// Capacity that a queue keeps once it is empty.
constexpr std::size_t keptQueueBytes = 16384;

void setOption(int descriptor, int level, int option, int value)
{
    // An option that can't be set leaves a connection that notices a dead peer later.
    (void)setsockopt(descriptor, level, option, &value, sizeof(value));
}

void setTimeouts(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMilliseconds);
}

// Empties a queue, and frees its memory if that is much.
void clearQueue(std::string &queue)
{
    if (queue.capacity() > keptQueueBytes)
        queue = std::string();
    else
        queue.clear();
}

} // namespace

struct TcpStream::Private : std::enable_shared_from_this<Private>
{
    Private(EventLoop &loop, TcpStreamOwner &owner)
        : m_socket(loop.context())
        , m_owner(&owner)
    {}

    void connect(const SocketAddress &address);
    void read();
    void send();
    void end(StreamEnd end);
    void close();

    asio::ip::tcp::socket m_socket;
    TcpStreamOwner *m_owner; // Null after close().
    std::array<char, readBufferBytes> m_buffer{};
    std::string m_queued;  // Waits for the send in progress.
    std::string m_sending; // Is being sent, from m_sentOffset on.
    std::size_t m_sentOffset = 0;
    bool m_connected = false;
    bool m_isSending = false;
    bool m_wasBlocked = false; // Since the queue was last empty.
    bool m_isReading = false;
    bool m_isReadingPaused = false;
    bool m_finishes = false;
    std::uint64_t m_sentBytes = 0;
};

void TcpStream::Private::connect(const SocketAddress &address)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.m_host, error);
    if (!error)
        m_socket.open(asio::ip::tcp::v4(), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error) {
        asio::post(m_socket.get_executor(),
                   [self = shared_from_this()] { self->end(StreamEnd::Failed); });
        return;
    }
    setTimeouts(m_socket.native_handle());
    m_socket.async_connect({ip, address.m_port},
                           [self = shared_from_this()](const asio::error_code &failure) {
                               if (self->m_owner == nullptr)
                                   return;
                               if (failure) {
                                   self->end(StreamEnd::Failed);
                                   return;
                               }
                               self->m_connected = true;
                               self->m_owner->streamConnected();
                               self->send();
                               self->read();
                           });
}

void TcpStream::Private::read()
{
    if (m_owner == nullptr || m_isReading || m_isReadingPaused)
        return;
    m_isReading = true;
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code &error, std::size_t count) {
            self->m_isReading = false;
            if (self->m_owner == nullptr)
                return;
            if (error) {
                self->end(error == asio::error::eof ? StreamEnd::Finished : StreamEnd::Failed);
                return;
            }
            self->m_owner->streamReceived({self->m_buffer.data(), count});
            self->read();
        });
}

void TcpStream::Private::send()
{
    if (m_owner == nullptr || !m_connected || m_isSending)
        return;
    if (m_sentOffset == m_sending.size()) {
        clearQueue(m_sending);
        m_sentOffset = 0;
        m_sending.swap(m_queued);
    }
    if (m_sending.empty()) {
        asio::error_code ignored; // The peer may have gone already; reading tells.
        if (m_finishes)
            m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        if (std::exchange(m_wasBlocked, false))
            m_owner->streamDrained();
        return;
    }
    // Written without a completion in between, which could come after the end of the connection is
    // read: what has left this process is known at any time.
    asio::error_code error;
    while (m_sentOffset < m_sending.size() && !error) {
        const std::size_t count = m_socket.write_some(
            asio::buffer(m_sending.data() + m_sentOffset, m_sending.size() - m_sentOffset), error);
        m_sentBytes += count;
        m_sentOffset += count;
    }
    if (!error) {
        send();
        return;
    }
    m_isSending = true;
    m_wasBlocked = true;
    if (error != asio::error::would_block) {
        asio::post(m_socket.get_executor(),
                   [self = shared_from_this()] { self->end(StreamEnd::Failed); });
        return;
    }
    m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                        [self = shared_from_this()](const asio::error_code &failure) {
                            self->m_isSending = false;
                            if (self->m_owner == nullptr)
                                return;
                            if (failure) {
                                self->end(StreamEnd::Failed);
                                return;
                            }
                            self->send();
                            if (self->m_owner != nullptr)
                                self->m_owner->streamSent();
                        });
}

void TcpStream::Private::end(StreamEnd end)
{
    if (m_owner != nullptr)
        m_owner->streamEnded(end);
}

void TcpStream::Private::close()
{
    m_owner = nullptr;
    asio::error_code ignored; // Closing frees the descriptor whatever it reports.
    m_socket.close(ignored);
}

TcpStream::TcpStream(std::shared_ptr<Private> d)
    : m_d(std::move(d))
{}

TcpStream::~TcpStream()
{
    m_d->close();
}

std::shared_ptr<TcpStream> TcpStream::connect(EventLoop &loop, const SocketAddress &address,
                                              TcpStreamOwner &owner)
{
    auto d = std::make_shared<Private>(loop, owner);
    d->connect(address);
    return std::shared_ptr<TcpStream>(new TcpStream(std::move(d)));
}

std::shared_ptr<TcpStream> TcpStream::adopt(EventLoop &loop, int descriptor, TcpStreamOwner &owner)
{
    auto d = std::make_shared<Private>(loop, owner);
    asio::error_code error;
    d->m_socket.assign(asio::ip::tcp::v4(), descriptor, error);
    if (!error)
        d->m_socket.non_blocking(true, error);
    d->m_connected = !error;
    setTimeouts(descriptor);
    // Reading begins later, so that the owner is whole by then.
    asio::post(d->m_socket.get_executor(), [d] { d->read(); });
    return std::shared_ptr<TcpStream>(new TcpStream(std::move(d)));
}

void TcpStream::write(std::string_view bytes)
{
    m_d->m_queued.append(bytes);
    m_d->send();
}

void TcpStream::pauseReading()
{
    m_d->m_isReadingPaused = true;
}

// From the loop, since the owner may still be using what was read last.
void TcpStream::resumeReading()
{
    if (!std::exchange(m_d->m_isReadingPaused, false))
        return;
    asio::post(m_d->m_socket.get_executor(), [d = m_d] { d->read(); });
}

void TcpStream::finishWriting()
{
    m_d->m_finishes = true;
    m_d->send();
}

void TcpStream::close()
{
    m_d->close();
}

void TcpStream::abort()
{
    if (m_d->m_owner != nullptr) {
        asio::error_code ignored; // Without the option the connection still closes, in order.
        m_d->m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_d->close();
}

std::uint64_t TcpStream::sentBytes() const
{
    return m_d->m_sentBytes;
}

std::size_t TcpStream::queuedBytes() const
{
    return m_d->m_queued.size() + m_d->m_sending.size() - m_d->m_sentOffset;
}

} // namespace burdockhead
