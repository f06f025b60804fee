#include <burdockhead/transport/frameconnection.h>
#include <burdockhead/transport/frameconnectionprivate.h>
#include <burdockhead/transport/workerpool.h>

namespace burdockhead {

namespace {

constexpr std::size_t maxFrameBytes = 16 << 20;
constexpr unsigned bitsPerByte = 8;

std::string withLength(const std::string &body)
{
    std::string bytes;
    bytes.reserve(body.size() + 4);
    for (int shift = 24; shift >= 0; shift -= bitsPerByte)
        bytes.push_back(static_cast<char>((body.size() >> shift) & 0xff));
    return bytes + body;
}

std::size_t lengthOf(const std::array<unsigned char, 4> &bytes)
{
    std::size_t length = 0;
    for (const unsigned char byte : bytes)
        length = (length << bitsPerByte) | byte;
    return length;
}

} // namespace

FrameConnection::FrameConnection(std::unique_ptr<Private> d)
    : m_d(std::move(d))
{}

FrameConnection::~FrameConnection() = default;

void FrameConnection::start(FrameHandler onFrame, ClosedHandler onClosed)
{
    asio::post(m_d->m_strand, [self = shared_from_this(), onFrame = std::move(onFrame),
                               onClosed = std::move(onClosed)]() mutable {
        self->m_d->m_onFrame = std::move(onFrame);
        self->m_d->m_onClosed = std::move(onClosed);
        asio::error_code ignored;
        self->m_d->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        if (self->m_d->m_closed)
            self->m_d->m_onClosed(self);
        else
            self->readLength();
    });
}

void FrameConnection::readLength()
{
    asio::async_read(m_d->m_socket, asio::buffer(m_d->m_length),
                     asio::bind_executor(m_d->m_strand, [self = shared_from_this()](
                                                            const asio::error_code &error, auto) {
                         const std::size_t length = lengthOf(self->m_d->m_length);
                         if (error || self->m_d->m_closed || length > maxFrameBytes)
                             self->closeInStrand();
                         else
                             self->readBody(length);
                     }));
}

void FrameConnection::readBody(std::size_t length)
{
    m_d->m_body.resize(length);
    asio::async_read(m_d->m_socket, asio::buffer(m_d->m_body),
                     asio::bind_executor(m_d->m_strand, [self = shared_from_this()](
                                                            const asio::error_code &error, auto) {
                         // What was read before the connection closed is dropped.
                         if (error || self->m_d->m_closed) {
                             self->closeInStrand();
                             return;
                         }
                         auto frame = decodeFrame(self->m_d->m_body, Clock::now());
                         if (!frame) {
                             self->closeInStrand();
                             return;
                         }
                         self->m_d->m_onFrame(self, std::move(*frame));
                         self->readLength();
                     }));
}

void FrameConnection::send(const Frame &frame)
{
    std::string bytes = withLength(encodeFrame(frame, Clock::now()));
    m_d->m_unsent += bytes.size();
    asio::post(m_d->m_strand, [self = shared_from_this(), bytes = std::move(bytes)]() mutable {
        if (self->m_d->m_closed) {
            self->m_d->m_unsent -= bytes.size();
            return;
        }
        self->m_d->m_queue.push_back(std::move(bytes));
        self->writeNext();
    });
}

// Gathers all that is queued into one write.
void FrameConnection::writeNext()
{
    if (m_d->m_busy || m_d->m_queue.empty() || m_d->m_closed)
        return;
    m_d->m_busy = true;
    m_d->m_writing.clear();
    for (const std::string &bytes : m_d->m_queue)
        m_d->m_writing += bytes;
    m_d->m_queue.clear();
    asio::async_write(m_d->m_socket, asio::buffer(m_d->m_writing),
                      asio::bind_executor(m_d->m_strand, [self = shared_from_this()](
                                                             const asio::error_code &error, auto) {
                          self->m_d->m_busy = false;
                          self->m_d->m_unsent -= self->m_d->m_writing.size();
                          if (error)
                              self->closeInStrand();
                          else
                              self->writeNext();
                      }));
}

void FrameConnection::close()
{
    asio::post(m_d->m_strand, [self = shared_from_this()] { self->closeInStrand(); });
}

void FrameConnection::closeInStrand()
{
    if (m_d->m_closed)
        return;
    m_d->m_closed = true;
    asio::error_code ignored;
    m_d->m_socket.close(ignored);
    if (m_d->m_onClosed)
        m_d->m_onClosed(shared_from_this());
    m_d->m_onFrame = nullptr;
    m_d->m_onClosed = nullptr;
}

std::size_t FrameConnection::unsentBytes() const
{
    return m_d->m_unsent;
}

void connectFrames(WorkerPool &pool, const SocketAddress &address, TimePoint deadline,
                   std::function<void(FrameConnectionPointer)> onConnected)
{
    auto &context = *static_cast<asio::io_context *>(pool.context());
    asio::error_code error;
    const auto host = asio::ip::make_address(address.m_host, error);
    if (error) {
        pool.post([onConnected = std::move(onConnected)] { onConnected(nullptr); });
        return;
    }
    auto socket = std::make_shared<asio::ip::tcp::socket>(asio::make_strand(context));
    auto timer = std::make_shared<asio::steady_timer>(socket->get_executor(), deadline);
    timer->async_wait([socket](const asio::error_code &waitError) {
        asio::error_code ignored;
        if (!waitError)
            socket->close(ignored);
    });
    socket->async_connect({host, address.m_port},
                          [socket, timer, onConnected = std::move(onConnected)](
                              const asio::error_code &connectError) {
                              timer->cancel();
                              if (connectError) {
                                  onConnected(nullptr);
                                  return;
                              }
                              onConnected(std::make_shared<FrameConnection>(
                                  std::make_unique<FrameConnection::Private>(std::move(*socket))));
                          });
}

} // namespace burdockhead
