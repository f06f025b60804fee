#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/net/eventloop.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace burdockhead {

// How the reading side of a connection ended.
enum class StreamEnd {
    Finished, // The peer closed in order.
    Failed,   // A reset, a time-out, or the connection could not be made.
};

// Whoever uses a TcpStream.
class TcpStreamOwner
{
public:
    // The connection is made; called for connections made by connect() only.
    virtual void streamConnected() {}
    virtual void streamReceived(std::string_view bytes) = 0;

    // Some of what had to wait has been handed to the network.
    virtual void streamSent() {}

    // All that was written has been handed to the network, after some of it had to wait.
    virtual void streamDrained() {}

    // Nothing more will come. The owner may still write after StreamEnd::Finished.
    virtual void streamEnded(StreamEnd end) = 0;

protected:
    ~TcpStreamOwner() = default;
};

// One TCP connection on an event loop: reads whenever something comes and queues what is
// written. Time-outs of the kernel end a connection whose peer has gone silent.
class TcpStream
{
public:
    // Begins to connect.
    static std::shared_ptr<TcpStream> connect(EventLoop &loop, const SocketAddress &address,
                                              TcpStreamOwner &owner);

    // Takes over an accepted socket, given by its descriptor, and begins to read.
    static std::shared_ptr<TcpStream> adopt(EventLoop &loop, int descriptor, TcpStreamOwner &owner);

    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    void write(std::string_view bytes);

    // Stops reading, so that what the peer sends waits there, and goes on.
    void pauseReading();
    void resumeReading();

    // Closes the writing side after everything queued has been sent.
    void finishWriting();

    // Closes at once; the owner hears nothing more.
    void close();

    // Closes with a reset: bytes that the peer's application has not read yet are discarded, also
    // those that are still on their way to a VM that is paused or cut off.
    void abort();

    // Bytes that have been handed to the network.
    std::uint64_t sentBytes() const;

    // Bytes that wait to be sent.
    std::size_t queuedBytes() const;

private:
    struct Private;
    explicit TcpStream(std::shared_ptr<Private> d);

    std::shared_ptr<Private> m_d;
};

} // namespace burdockhead
