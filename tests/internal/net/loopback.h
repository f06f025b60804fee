#pragma once

#include <burdockhead/net/eventloop.h>
#include <burdockhead/net/tcpstream.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>

namespace burdockhead::test {

// Runs the loop until the condition holds; fails the test after ten seconds.
inline void runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    const TimePoint deadline = Clock::now() + Seconds(10);
    std::function<void()> look = [&] {
        if (condition() || Clock::now() > deadline)
            loop.stop();
        else
            loop.callAt(Clock::now() + Milliseconds(1), look);
    };
    loop.callAt(Clock::now(), look);
    loop.run();
    loop.restart();
    BOOST_REQUIRE(condition());
}

// A client's connection whose bytes the test writes and reads itself.
class RawClient : private TcpStreamOwner
{
public:
    RawClient(EventLoop &loop, const SocketAddress &address)
        : m_stream(TcpStream::connect(loop, address, *this))
    {}

    void write(std::string_view bytes) { m_stream->write(bytes); }
    void close() { m_stream->close(); }
    void pauseReading() { m_stream->pauseReading(); }
    void resumeReading() { m_stream->resumeReading(); }
    const std::string &received() const { return m_received; }
    bool hasEnded() const { return m_hasEnded; }

private:
    void streamReceived(std::string_view bytes) override { m_received.append(bytes); }
    void streamEnded(StreamEnd) override { m_hasEnded = true; }

    std::string m_received;
    bool m_hasEnded = false;
    std::shared_ptr<TcpStream> m_stream;
};

} // namespace burdockhead::test
