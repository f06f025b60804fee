#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/transport/frame.h>

#include <functional>
#include <memory>

namespace burdockhead {

class WorkerPool;
class FrameConnection;

using FrameConnectionPointer = std::shared_ptr<FrameConnection>;

// A TCP connection that carries frames in order, each behind its length in four bytes. Bytes
// that are not a frame close it. Safe to use from any thread.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using FrameHandler = std::function<void(const FrameConnectionPointer &, Frame)>;
    using ClosedHandler = std::function<void(const FrameConnectionPointer &)>;
    struct Private;

    explicit FrameConnection(std::unique_ptr<Private> d);
    ~FrameConnection();
    FrameConnection(const FrameConnection &) = delete;
    FrameConnection &operator=(const FrameConnection &) = delete;

    // Begins to read. Frames come one at a time; closed comes once, after the last frame.
    void start(FrameHandler onFrame, ClosedHandler onClosed);

    // Queues a frame. It is dropped when the connection is closed.
    void send(const Frame &frame);

    // Closes at once; what is still queued is lost.
    void close();

    // Bytes queued and not yet handed to the kernel.
    std::size_t unsentBytes() const;

private:
    void readLength();
    void readBody(std::size_t length, TimePoint roomBy);
    void readPart(std::size_t length, std::size_t offset);
    void onFrameRead();
    void waitForRoom(std::size_t length, TimePoint roomBy);
    void expectFirstFrame();
    bool holdBytes(std::size_t bytes);
    void writeNext();
    void closeInStrand();

    std::unique_ptr<Private> m_d;
};

// Connects to an address; the handler gets a null pointer when that fails before the deadline.
void connectFrames(WorkerPool &pool, const SocketAddress &address, TimePoint deadline,
                   std::function<void(FrameConnectionPointer)> onConnected);

} // namespace burdockhead
