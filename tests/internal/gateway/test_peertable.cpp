#include <burdockhead/gateway/peerlink.h>
#include <burdockhead/gateway/peertable.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace burdockhead;

namespace {

constexpr Milliseconds beat{400};

PeerRecord record(std::size_t number)
{
    PeerRecord record;
    record.m_name = ProcessName("g" + std::to_string(number));
    record.m_incarnation = 1;
    record.m_state = PeerState::Ready;
    record.m_clientAddress = {"10.0.0." + std::to_string(number), 8000};
    record.m_gossipAddress = {"10.0.0." + std::to_string(number), 9000};
    return record;
}

// Gateways that gossip over a network that loses some datagrams.
class Fleet
{
public:
    Fleet(std::size_t size, double loss, std::uint64_t seed)
        : m_random(seed)
        , m_loss(loss)
    {
        for (std::size_t number = 1; number <= size; ++number)
            m_tables.push_back(std::make_unique<PeerTable>(
                record(number), std::vector{record(1).m_gossipAddress, record(2).m_gossipAddress},
                Random(seed + number)));
    }

    void run(Milliseconds span)
    {
        for (const TimePoint end = m_now + span; m_now < end; m_now += beat) {
            for (const auto &table : m_tables) {
                if (table)
                    send(*table);
            }
        }
    }

    void kill(std::size_t number) { m_tables[number - 1].reset(); }

    // The gateways that some living one names to clients.
    std::size_t mostNamed() const { return named(true); }
    std::size_t leastNamed() const { return named(false); }

    const PeerTable &table(std::size_t number) const { return *m_tables[number - 1]; }
    TimePoint now() const { return m_now; }

private:
    void send(PeerTable &from)
    {
        for (const SocketAddress &target : from.beginHeartbeat(m_now)) {
            if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss)
                continue;
            for (const auto &table : m_tables) {
                if (table && table->local().m_gossipAddress == target)
                    table->receive(*readPeerMessage(writePeerMessage(from.recordsToSend(m_now))),
                                   m_now);
            }
        }
    }

    std::size_t named(bool most) const
    {
        std::vector<std::size_t> counts;
        for (const auto &table : m_tables) {
            if (table)
                counts.push_back(table->readyClients(m_now).size());
        }
        return most ? *std::max_element(counts.begin(), counts.end())
                    : *std::min_element(counts.begin(), counts.end());
    }

    std::vector<std::unique_ptr<PeerTable>> m_tables;
    Random m_random;
    double m_loss;
    TimePoint m_now{Seconds(100)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Peers)

BOOST_AUTO_TEST_CASE(gateways_find_each_other_by_their_seeds)
{
    for (const std::size_t size : {9U, 44U}) {
        Fleet fleet(size, 0.05, 3);
        fleet.run(Seconds(5));
        BOOST_TEST(fleet.leastNamed() == size);
        BOOST_TEST(fleet.table(5).gatewayCount(fleet.now()) == size);
    }
}

BOOST_AUTO_TEST_CASE(a_dead_gateway_is_named_by_none_after_six_seconds_and_never_again)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(9, 0.05, seed);
        fleet.run(Seconds(5));
        fleet.kill(4);
        fleet.run(Seconds(6));
        BOOST_TEST(fleet.mostNamed() == 8U, "seed " << seed);
        fleet.run(Seconds(20));
        BOOST_TEST(fleet.mostNamed() == 8U, "seed " << seed);
        BOOST_TEST(fleet.leastNamed() == 8U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(bounds_stay_divided_among_gateways_that_were_heard_of_lately)
{
    Fleet fleet(9, 0, 1);
    fleet.run(Seconds(5));
    for (std::size_t number = 2; number <= 9; ++number)
        fleet.kill(number);
    fleet.run(Seconds(30));
    BOOST_TEST(fleet.table(1).readyClients(fleet.now()).size() == 1U);
    BOOST_TEST(fleet.table(1).gatewayCount(fleet.now()) == 9U);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_has_just_started_assumes_a_fleet)
{
    PeerTable table(record(1), {}, Random(1));
    table.beginHeartbeat(TimePoint{});
    BOOST_TEST(table.gatewayCount(TimePoint{}) == 16U);
    BOOST_TEST(table.gatewayCount(TimePoint{} + Seconds(4)) == 1U);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_leaves_is_not_named)
{
    PeerTable table(record(1), {}, Random(1));
    PeerRecord leaving = record(2);
    leaving.m_state = PeerState::Leaving;
    table.receive({leaving, record(3)}, TimePoint{});
    BOOST_TEST(table.readyClients(TimePoint{}).size() == 2U);
    table.setState(PeerState::Leaving);
    BOOST_TEST(table.readyClients(TimePoint{}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_datagram_that_is_cut_short_is_refused)
{
    const std::string message = writePeerMessage({record(1), record(2)});
    for (std::size_t length = 0; length < message.size(); ++length)
        BOOST_TEST(!readPeerMessage(message.substr(0, length)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
