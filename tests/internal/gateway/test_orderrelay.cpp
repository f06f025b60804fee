#include "freeport.h"
#include "loopback.h"
#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/net/httplistener.h>

#include <unistd.h>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// An engine, a gateway's relay, and a coordinator that uses it.
class RelayWorld
{
public:
    RelayWorld()
        : m_engine(m_loop, [this](const auto &exchange) { answer(exchange); })
        , m_relay(m_loop, m_client, m_endpoints, m_lines)
        , m_listener(m_loop, [this](const auto &exchange) { m_relay.handle(exchange); })
    {
        std::string error;
        BOOST_REQUIRE(m_engine.start(m_engineAddress, error));
        BOOST_REQUIRE(m_listener.start(m_relayAddress, error));
        EndpointEntry entry;
        entry.m_name = EndpointName("e1");
        entry.m_service = GroupName("llm");
        entry.m_address = m_engineAddress;
        m_endpoints.update(entry);
    }

    // The status of an order to that address.
    int order(const std::string &to)
    {
        ShortCall call(m_loop, m_client, m_relayAddress, "POST",
                       std::string(relayPrefix) + "/orders", "hold", Clock::now() + Seconds(5),
                       [](ShortCall &) {}, {{relayToHeader, to}});
        runUntil(m_loop, [&] { return call.isDone(); });
        return call.status();
    }

    const SocketAddress m_engineAddress = freeLoopbackAddress();
    std::string m_taken; // Target and body of the last order that the engine got.
    bool m_isFrozen = false;

private:
    void answer(const std::shared_ptr<HttpExchange> &exchange)
    {
        m_taken = exchange->head().m_target + " " + exchange->body();
        if (!m_isFrozen)
            exchange->answer(202, {}, "");
    }

    const SocketAddress m_relayAddress = freeLoopbackAddress();
    EventLoop m_loop;
    HttpClientPool m_client{m_loop};
    EndpointTable m_endpoints{Random(1)};
    LineSink m_lines{STDOUT_FILENO, "gateway", LineSink::Options()};
    HttpListener m_engine;
    OrderRelay m_relay;
    HttpListener m_listener;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Relay)

BOOST_AUTO_TEST_CASE(an_order_reaches_the_engine_and_its_status_comes_back)
{
    RelayWorld world;
    BOOST_TEST(world.order(world.m_engineAddress.toString()) == 202);
    BOOST_TEST(world.m_taken == "/orders hold");
}

BOOST_AUTO_TEST_CASE(nothing_is_passed_on_to_an_address_of_no_known_endpoint)
{
    RelayWorld world;
    BOOST_TEST(world.order("127.0.0.1:9") == 404);
    BOOST_TEST(world.order("nonsense") == 404);
    BOOST_TEST(world.order("") == 404);
    BOOST_TEST(world.m_taken == "");
}

BOOST_AUTO_TEST_CASE(an_engine_that_does_not_answer_is_told_at_once)
{
    RelayWorld world;
    world.m_isFrozen = true;
    const TimePoint begun = Clock::now();
    BOOST_TEST(world.order(world.m_engineAddress.toString()) == 504);
    BOOST_TEST((Clock::now() - begun < Seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
