#include <burdockhead/transport/frameconnection.h>
#include <burdockhead/transport/framelistener.h>
#include <burdockhead/transport/workerpool.h>

#include <boost/test/unit_test.hpp>

#include <freeport.h>
#include <future>

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

BOOST_AUTO_TEST_SUITE_END()
