#include <burdockhead/gateway/loadmessage.h>
#include <burdockhead/gateway/loadtable.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <random>

using namespace burdockhead;

namespace {

constexpr Milliseconds reportInterval{400};
constexpr std::size_t fanout = 4;
const GroupName service("llm");
const SocketAddress engine{"10.0.0.7", 80};

ProcessName gatewayName(std::size_t number)
{
    return ProcessName("g" + std::to_string(number));
}

// Gateways that report their load to a few random others at a time.
class GossipSimulation
{
public:
    explicit GossipSimulation(std::size_t size)
    {
        for (std::size_t number = 0; number < size; ++number) {
            m_tables.push_back(
                std::make_unique<LoadTable>(gatewayName(number), 1, Random(number + 1)));
            m_tables.back()->setServices({{service, 10}});
        }
    }

    void run(Milliseconds span)
    {
        for (const TimePoint end = m_now + span; m_now < end; m_now += reportInterval) {
            for (const auto &table : m_tables) {
                if (table)
                    send(*table);
            }
        }
    }

    void stop(std::size_t number) { m_tables[number].reset(); }
    LoadTable &table(std::size_t number) { return *m_tables[number]; }
    LoadElsewhere elsewhere(std::size_t number)
    {
        return m_tables[number]->elsewhere(service, m_now);
    }
    TimePoint now() const { return m_now; }

private:
    void send(LoadTable &from)
    {
        const std::string message = writeLoadMessage(from.reportsToSend(m_now));
        for (std::size_t target = 0; target < fanout; ++target) {
            const auto &to = m_tables[m_random() % m_tables.size()];
            if (to && to.get() != &from)
                to->receive(*readLoadMessage(message), m_now);
        }
    }

    std::vector<std::unique_ptr<LoadTable>> m_tables;
    Random m_random{1};
    TimePoint m_now{Seconds(100)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Loads)

BOOST_AUTO_TEST_CASE(each_gateway_learns_the_load_of_all_others)
{
    for (const std::size_t size : {6U, 44U}) {
        GossipSimulation gossip(size);
        gossip.run(Seconds(4));
        for (std::size_t number = 0; number < size; ++number) {
            BOOST_TEST(gossip.elsewhere(number).m_gateways == size - 1);
            BOOST_TEST(gossip.elsewhere(number).m_requests == 10 * (size - 1));
        }
        gossip.table(3).setServices({{service, 90}});
        gossip.run(Milliseconds(2400));
        BOOST_TEST(gossip.elsewhere(0).m_requests == 10 * (size - 1) + 80);
    }
}

BOOST_AUTO_TEST_CASE(the_load_of_a_gateway_that_stops_is_forgotten_for_good)
{
    GossipSimulation gossip(9);
    gossip.run(Seconds(4));
    gossip.stop(4);
    gossip.run(Milliseconds(4400));
    for (int round = 0; round < 10; ++round) {
        BOOST_TEST(gossip.elsewhere(0).m_gateways == 7U);
        gossip.run(Seconds(1));
    }
}

BOOST_AUTO_TEST_CASE(a_slow_endpoint_is_known_everywhere_until_it_is_healthy)
{
    GossipSimulation gossip(9);
    gossip.table(0).setSlowEndpoints({{engine, 12}});
    gossip.run(Seconds(2));
    for (std::size_t number = 0; number < 9; ++number)
        BOOST_TEST(gossip.table(number).slowEndpoints(gossip.now()).at(engine) == 12);
    gossip.table(0).setSlowEndpoints({});
    gossip.run(Seconds(2));
    for (std::size_t number = 0; number < 9; ++number)
        BOOST_TEST(gossip.table(number).slowEndpoints(gossip.now()).empty());
}

// Until all others count them, what they take together would be too much.
BOOST_AUTO_TEST_CASE(arrivals_count_for_the_own_gateway_once_the_others_know_them)
{
    LoadTable table(gatewayName(1), 1, Random(1));
    TimePoint now{Seconds(100)};
    const auto report = [&](std::uint64_t arrivals, Milliseconds span) {
        table.setServices({{service, 0, arrivals}});
        for (const TimePoint end = now + span; now < end; now += reportInterval)
            table.reportsToSend(now);
    };
    BOOST_TEST(!table.announcedArrivals(service, now).has_value());
    report(50, Seconds(1));
    BOOST_TEST(!table.announcedArrivals(service, now).has_value());
    report(50, Seconds(2));
    BOOST_TEST((table.announcedArrivals(service, now) == 50U));
    report(90, Seconds(1));
    BOOST_TEST((table.announcedArrivals(service, now) == 50U));
    report(90, Seconds(2));
    BOOST_TEST((table.announcedArrivals(service, now) == 90U));
    report(10, reportInterval);
    BOOST_TEST((table.announcedArrivals(service, now) == 10U));
}

BOOST_AUTO_TEST_CASE(a_truncated_message_is_rejected)
{
    const std::string message =
        writeLoadMessage({{gatewayName(1), 1, 2, {{service, 3}}, {{engine, 4}}}});
    BOOST_TEST(readLoadMessage(message).has_value());
    for (std::size_t length = 0; length < message.size(); ++length)
        BOOST_TEST(!readLoadMessage(message.substr(0, length)).has_value());
}

// The other gateways ignore reports of an earlier incarnation for a minute.
BOOST_AUTO_TEST_CASE(a_gateway_that_has_raised_its_incarnation_is_heard)
{
    const TimePoint now{Seconds(100)};
    LoadTable before(gatewayName(1), 9, Random(1));
    LoadTable after(gatewayName(1), 3, Random(1));
    LoadTable peer(gatewayName(2), 1, Random(2));
    after.setServices({{service, 10}});
    peer.receive(before.reportsToSend(now), now);
    peer.receive(after.reportsToSend(now), now);
    BOOST_TEST(peer.elsewhere(service, now).m_requests == 0U);
    after.setIncarnation(10);
    peer.receive(after.reportsToSend(now), now);
    BOOST_TEST(peer.elsewhere(service, now).m_requests == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
