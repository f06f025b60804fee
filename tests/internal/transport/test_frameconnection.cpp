#include <burdockhead/transport/frameconnection.h>
#include <burdockhead/transport/frameconnectionprivate.h>
#include <burdockhead/transport/framelistener.h>
#include <burdockhead/transport/workerpool.h>

#include <boost/test/unit_test.hpp>

#include <freeport.h>
#include <future>
#include <thread>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(FrameConnections)

BOOST_AUTO_TEST_CASE(frames_arrive_whole_and_in_order_and_the_other_end_sees_the_close)
{
    constexpr std::uint64_t count = 2000;
    WorkerPool pool(2);
    const SocketAddress address = freeLoopbackAddress();
    std::promise<std::uint64_t> inOrder;
    std::promise<void> closed;
    FrameListener listener(pool, address, [&](const FrameConnectionPointer &connection) {
        auto next = std::make_shared<std::uint64_t>(0);
        connection->start(
            [&, next](const auto &, const Frame &frame) {
                const auto &data = std::get<DataFrame>(frame);
                if (data.m_offset == *next && data.m_data.size() == *next)
                    ++*next;
                if (*next == count)
                    inOrder.set_value(*next);
            },
            [&](const auto &) { closed.set_value(); });
    });
    BOOST_REQUIRE(listener.start());
    std::promise<FrameConnectionPointer> connected;
    connectFrames(pool, address, Clock::now() + Seconds(20),
                  [&](const FrameConnectionPointer &made) { connected.set_value(made); });
    const FrameConnectionPointer connection = connected.get_future().get();
    BOOST_REQUIRE(connection);
    connection->start([](const auto &, const Frame &) {}, [](const auto &) {});
    for (std::uint64_t index = 0; index < count; ++index)
        connection->send(DataFrame{{}, index, std::string(index, 'x')});
    BOOST_TEST(inOrder.get_future().get() == count);
    connection->close();
    closed.get_future().get();
    pool.stop();
}

BOOST_AUTO_TEST_CASE(a_port_that_nobody_listens_on_gives_no_connection)
{
    WorkerPool pool(1);
    std::promise<bool> connected;
    connectFrames(pool, freeLoopbackAddress(), Clock::now() + Seconds(20),
                  [&](const FrameConnectionPointer &connection) {
                      connected.set_value(connection != nullptr);
                  });
    BOOST_TEST(!connected.get_future().get());
}

// Load pattern: a peer sends while its connection is being closed.
BOOST_AUTO_TEST_CASE(a_frame_that_arrives_while_its_connection_closes_is_dropped)
{
    WorkerPool pool(2);
    auto &context = *static_cast<asio::io_context *>(pool.context());
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    auto state = std::make_unique<FrameConnection::Private>(acceptor.accept());
    const auto strand = state->m_strand;
    const auto connection = std::make_shared<FrameConnection>(std::move(state));
    std::promise<void> closed;
    connection->start([](const FrameConnectionPointer &, const Frame &) {},
                      [&closed](const FrameConnectionPointer &) { closed.set_value(); });
    const std::string body = encodeFrame(CancelFrame{}, Clock::now());
    const std::string length = {0, 0, 0, static_cast<char>(body.size())};
    asio::write(peer, asio::buffer(length));
    std::this_thread::sleep_for(Milliseconds(50));
    // The body is read while the strand is busy and the close waits for it.
    std::promise<void> isBlocked;
    std::promise<void> released;
    asio::post(strand, [&] {
        isBlocked.set_value();
        released.get_future().wait();
    });
    isBlocked.get_future().wait();
    connection->close();
    asio::write(peer, asio::buffer(body));
    std::this_thread::sleep_for(Milliseconds(50));
    released.set_value();
    closed.get_future().wait();
    std::this_thread::sleep_for(Milliseconds(50));
    BOOST_TEST(connection->unsentBytes() == 0U);
    pool.stop();
}

BOOST_AUTO_TEST_SUITE_END()
