#include <burdockhead/gateway/peerlink.h>
#include <burdockhead/gateway/peertable.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace burdockhead;

namespace {

constexpr Milliseconds heartbeatInterval{400};

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

// Lets one gateway send heartbeats that nobody answers.
void beat(PeerTable &table, TimePoint &now, Milliseconds span)
{
    for (const TimePoint end = now + span; now <= end; now += heartbeatInterval)
        table.beginHeartbeat(now);
}

// Simulates gateways that gossip over a network that loses some datagrams.
class GossipSimulation
{
public:
    GossipSimulation(std::size_t size, double loss, std::uint64_t seed)
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
        for (const TimePoint end = m_now + span; m_now < end; m_now += heartbeatInterval) {
            for (const auto &table : m_tables) {
                if (table)
                    send(*table);
            }
        }
    }

    void stop(std::size_t number) { m_tables[number - 1].reset(); }

    // Starts a gateway again.
    void restart(std::size_t number, std::uint64_t incarnation)
    {
        PeerRecord restarted = record(number);
        restarted.m_incarnation = incarnation;
        m_tables[number - 1] = std::make_unique<PeerTable>(
            restarted, std::vector{record(1).m_gossipAddress, record(2).m_gossipAddress},
            Random(number));
    }

    // The largest and smallest number of ready gateways known to any live one.
    std::size_t maxReadyCount() const { return readyCount(true); }
    std::size_t minReadyCount() const { return readyCount(false); }

    const PeerTable &table(std::size_t number) const { return *m_tables[number - 1]; }
    TimePoint now() const { return m_now; }

private:
    void send(PeerTable &from)
    {
        for (const SocketAddress &target : from.beginHeartbeat(m_now))
            deliver(from.recordsToSend(m_now), target);
        for (const PeerReminder &reminder : from.takeReminders())
            deliver({reminder.m_record}, reminder.m_target);
    }

    void deliver(const std::vector<PeerRecord> &records, const SocketAddress &target)
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss)
            return;
        for (const auto &table : m_tables) {
            if (table && table->local().m_gossipAddress == target)
                table->receive(*readPeerMessage(writePeerMessage(records)), m_now);
        }
    }

    std::size_t readyCount(bool isMax) const
    {
        std::vector<std::size_t> counts;
        for (const auto &table : m_tables) {
            if (table)
                counts.push_back(table->readyClients(m_now).size());
        }
        return isMax ? *std::max_element(counts.begin(), counts.end())
                     : *std::min_element(counts.begin(), counts.end());
    }

    std::vector<std::unique_ptr<PeerTable>> m_tables;
    Random m_random;
    double m_loss;
    TimePoint m_now{Seconds(100)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Peers)

BOOST_AUTO_TEST_CASE(gateways_discover_each_other_by_their_seeds)
{
    for (const std::size_t size : {9U, 44U}) {
        GossipSimulation gossip(size, 0.05, 3);
        gossip.run(Seconds(5));
        BOOST_TEST(gossip.minReadyCount() == size);
        BOOST_TEST(gossip.table(5).gatewayCount(gossip.now()) == size);
    }
}

BOOST_AUTO_TEST_CASE(a_dead_gateway_is_listed_nowhere_after_six_seconds_and_never_again)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        GossipSimulation gossip(9, 0.05, seed);
        gossip.run(Seconds(5));
        gossip.stop(4);
        gossip.run(Seconds(6));
        BOOST_TEST(gossip.maxReadyCount() == 8U, "seed " << seed);
        gossip.run(Seconds(20));
        BOOST_TEST(gossip.maxReadyCount() == 8U, "seed " << seed);
        BOOST_TEST(gossip.minReadyCount() == 8U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(limits_stay_divided_among_recently_seen_gateways)
{
    GossipSimulation gossip(9, 0, 1);
    gossip.run(Seconds(5));
    for (std::size_t number = 2; number <= 9; ++number)
        gossip.stop(number);
    gossip.run(Seconds(30));
    BOOST_TEST(gossip.table(1).readyClients(gossip.now()).size() == 1U);
    BOOST_TEST(gossip.table(1).gatewayCount(gossip.now()) == 9U);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_has_just_started_assumes_a_minimum_count)
{
    PeerTable table(record(1), {}, Random(1));
    table.beginHeartbeat(TimePoint{});
    BOOST_TEST(table.gatewayCount(TimePoint{}) == 16U);
    BOOST_TEST(table.gatewayCount(TimePoint{} + Seconds(4)) == 1U);
}

// What its predecessor used must be outside of the window by then, and all others must know it.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_takes_its_part_of_a_limit_late)
{
    GossipSimulation gossip(9, 0, 1);
    gossip.run(Seconds(10));
    BOOST_TEST(gossip.table(5).shareOfLimit(Seconds(10), gossip.now()) == 0);
    gossip.run(Seconds(4));
    BOOST_TEST(gossip.table(5).shareOfLimit(Seconds(10), gossip.now()) == 1.0 / 9);
}

BOOST_AUTO_TEST_CASE(
    a_gateway_that_starts_for_the_first_time_takes_its_part_once_it_knows_the_others)
{
    PeerTable table(record(1), {record(2).m_gossipAddress}, Random(1));
    table.setFirstStart();
    TimePoint now{Seconds(100)};
    beat(table, now, Milliseconds(0));
    table.receive({record(2)}, now);
    beat(table, now, Seconds(2));
    BOOST_TEST(table.shareOfLimit(Seconds(10), now) == 0);
    beat(table, now, Seconds(2));
    BOOST_TEST(table.shareOfLimit(Seconds(10), now) == 0.5);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_stood_still_learns_the_others_before_it_takes_its_part)
{
    PeerTable table(record(1), {record(2).m_gossipAddress}, Random(1));
    TimePoint now{Seconds(100)};
    table.receive({record(2)}, now);
    beat(table, now, Seconds(14));
    BOOST_TEST(table.shareOfLimit(Seconds(10), now) == 0.5);
    now += Seconds(4);
    beat(table, now, Seconds(2));
    BOOST_TEST(table.shareOfLimit(Seconds(10), now) == 0);
    beat(table, now, Seconds(2));
    BOOST_TEST(table.shareOfLimit(Seconds(10), now) == 0.5);
}

BOOST_AUTO_TEST_CASE(a_gateway_that_hears_of_no_other_takes_no_part_of_a_limit)
{
    PeerTable table(record(1), {record(2).m_gossipAddress}, Random(1));
    TimePoint now{Seconds(100)};
    beat(table, now, Seconds(60));
    BOOST_TEST(table.shareOfLimit(Seconds(10), now) == 0);
    table.receive({record(2)}, now);
    beat(table, now, Seconds(10));
    BOOST_TEST(table.shareOfLimit(Seconds(10), now) == 0);
    beat(table, now, Seconds(4));
    BOOST_TEST(table.shareOfLimit(Seconds(10), now) == 0.5);
}

// Its peers ignored it for up to ten minutes.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_again_while_its_clock_is_behind_is_heard)
{
    for (const std::size_t restarted : {1, 2, 7}) {
        for (const Milliseconds away : {Milliseconds(400), Milliseconds(8000)}) {
            GossipSimulation fleet(9, 0.05, restarted);
            fleet.restart(restarted, 2400000); // A clock that is ahead for a while.
            fleet.run(Seconds(5));
            BOOST_TEST(fleet.minReadyCount() == 9U);
            fleet.stop(restarted);
            fleet.run(away);
            fleet.restart(restarted, 7);
            fleet.run(Seconds(5));
            BOOST_TEST(fleet.minReadyCount() == 9U);
            BOOST_TEST(fleet.table(restarted).local().m_incarnation > 2400000U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_gateway_is_not_reminded_of_its_own_run)
{
    PeerTable table(record(1), {}, Random(1));
    TimePoint now{};
    table.beginHeartbeat(now);
    const PeerRecord own = table.local();
    table.beginHeartbeat(now);
    table.receive({own}, now);
    BOOST_TEST(table.local().m_incarnation == own.m_incarnation);
    table.receive({record(2)}, now);
    table.receive({record(2)}, now);
    BOOST_TEST(table.takeReminders().empty());
}

BOOST_AUTO_TEST_CASE(a_leaving_gateway_is_not_listed)
{
    PeerTable table(record(1), {}, Random(1));
    PeerRecord leaving = record(2);
    leaving.m_state = PeerState::Leaving;
    table.receive({leaving, record(3)}, TimePoint{});
    BOOST_TEST(table.readyClients(TimePoint{}).size() == 2U);
    table.setState(PeerState::Leaving);
    BOOST_TEST(table.readyClients(TimePoint{}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_truncated_datagram_is_rejected)
{
    const std::string message = writePeerMessage({record(1), record(2)});
    for (std::size_t length = 0; length < message.size(); ++length)
        BOOST_TEST(!readPeerMessage(message.substr(0, length)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
