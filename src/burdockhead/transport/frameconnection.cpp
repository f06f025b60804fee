#include <burdockhead/transport/frameconnection.h>
#include <burdockhead/transport/frameconnectionprivate.h>
#include <burdockhead/transport/workerpool.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

constexpr std::size_t maxFrameBytes = 16 << 20;
constexpr unsigned bitsPerByte = 8;
// Whoever connects sends a short frame that names it before any other.
constexpr std::size_t maxFirstFrameBytes = 4096;
constexpr Seconds firstFrameTime{5};
// Memory for a frame grows with what has come of it, which is read in parts of this size; an empty
// buffer keeps as much.
constexpr std::size_t partBytes = 65536;
// How long the beginning of a frame waits for room, and how often it looks.
constexpr Seconds maxRoomWait{2};
constexpr Milliseconds roomWaitStep{20};

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

FrameConnection::~FrameConnection()
{
    if (m_d->m_budget)
        m_d->m_budget->remove(this);
}

void FrameConnection::start(FrameHandler onFrame, ClosedHandler onClosed)
{
    asio::post(m_d->m_strand, [self = shared_from_this(), onFrame = std::move(onFrame),
                               onClosed = std::move(onClosed)]() mutable {
        self->m_d->m_onFrame = std::move(onFrame);
        self->m_d->m_onClosed = std::move(onClosed);
        asio::error_code ignored;
        self->m_d->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        if (self->m_d->m_closed) {
            self->m_d->m_onClosed(self);
            return;
        }
        if (self->m_d->m_budget)
            self->expectFirstFrame();
        self->readLength();
    });
}

// Closes a connection on which no frame comes in time.
void FrameConnection::expectFirstFrame()
{
    m_d->m_timer.expires_after(firstFrameTime);
    m_d->m_timer.async_wait([weak = weak_from_this()](const asio::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_d->m_hasReceivedFrame)
            self->closeInStrand();
    });
}

bool FrameConnection::holdBytes(std::size_t bytes)
{
    return !m_d->m_budget || m_d->m_budget->hold(this, bytes, Clock::now());
}

void FrameConnection::readLength()
{
    asio::async_read(m_d->m_socket, asio::buffer(m_d->m_length),
                     asio::bind_executor(m_d->m_strand, [self = shared_from_this()](
                                                            const asio::error_code &error, auto) {
                         const std::size_t length = lengthOf(self->m_d->m_length);
                         const bool isFirst = self->m_d->m_budget && !self->m_d->m_hasReceivedFrame;
                         const std::size_t maxBytes = isFirst ? maxFirstFrameBytes : maxFrameBytes;
                         if (error || self->m_d->m_closed || length > maxBytes)
                             self->closeInStrand();
                         else
                             self->readBody(length, Clock::now() + maxRoomWait);
                     }));
}

void FrameConnection::readBody(std::size_t length, TimePoint roomBy)
{
    const std::size_t offset = m_d->m_body.size();
    const std::size_t size = std::min(length, offset + partBytes);
    std::size_t capacity = m_d->m_body.capacity();
    if (size > capacity)
        capacity = std::min(length, std::max(partBytes, 2 * capacity));
    if (!holdBytes(capacity)) {
        waitForRoom(length, roomBy);
        return;
    }
    m_d->m_body.reserve(capacity);
    m_d->m_body.resize(size);
    readPart(length, offset);
}

// Peers that stall are being disconnected meanwhile.
void FrameConnection::waitForRoom(std::size_t length, TimePoint roomBy)
{
    if (Clock::now() >= roomBy) {
        closeInStrand();
        return;
    }
    m_d->m_timer.expires_after(roomWaitStep);
    m_d->m_timer.async_wait(
        [self = shared_from_this(), length, roomBy](const asio::error_code &error) {
            if (!error && !self->m_d->m_closed)
                self->readBody(length, roomBy);
        });
}

void FrameConnection::readPart(std::size_t length, std::size_t offset)
{
    const std::size_t missing = m_d->m_body.size() - offset;
    asio::async_read(m_d->m_socket, asio::buffer(m_d->m_body.data() + offset, missing),
                     asio::bind_executor(m_d->m_strand, [self = shared_from_this(), length](
                                                            const asio::error_code &error, auto) {
                         // What was read before the connection closed is dropped.
                         if (error || self->m_d->m_closed)
                             self->closeInStrand();
                         else if (self->m_d->m_body.size() < length)
                             self->readBody(length, Clock::now() + maxRoomWait);
                         else
                             self->onFrameRead();
                     }));
}

void FrameConnection::onFrameRead()
{
    auto frame = decodeFrame(m_d->m_body, Clock::now());
    if (m_d->m_body.capacity() > partBytes)
        m_d->m_body = std::string();
    else
        m_d->m_body.clear();
    holdBytes(0);
    if (!frame) {
        closeInStrand();
        return;
    }
    if (m_d->m_budget && !std::exchange(m_d->m_hasReceivedFrame, true))
        m_d->m_budget->recordFrame(this);
    m_d->m_onFrame(shared_from_this(), std::move(*frame));
    readLength();
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
    m_d->m_timer.cancel();
    if (m_d->m_budget)
        m_d->m_budget->remove(this);
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
