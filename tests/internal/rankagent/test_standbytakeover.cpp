#include <burdockhead/rankagent/standbytakeover.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>

using namespace burdockhead;

namespace {

constexpr Milliseconds roundTime{150};
constexpr int roundsPerFullRound = 5; // All ranks are polled about every 700 ms.

std::vector<std::uint32_t> allRanks()
{
    std::vector<std::uint32_t> ranks(72);
    std::iota(ranks.begin(), ranks.end(), 0);
    return ranks;
}

// Returns the snapshot of a rank that has loaded a map that isn't active yet.
RankSnapshot standbyDuringChange(std::uint32_t rank)
{
    RankSnapshot snapshot;
    snapshot.m_rank = rank;
    snapshot.m_rankCount = 72;
    snapshot.m_mapVersion = 4;
    snapshot.m_preparedVersion = 5;
    return snapshot;
}

// Whether a standby takes over within ten seconds of a coordinator that reads counts.
template <typename Ask>
bool takesOver(const RankSnapshot &snapshot, const Ask &ranksOfRound)
{
    TimePoint now = Clock::now();
    TimePoint lastPolledAt = now;
    for (int round = 0; round < 70; ++round, now += roundTime) {
        const auto polled = round % roundsPerFullRound == 0 ? allRanks() : ranksOfRound();
        if (std::count(polled.begin(), polled.end(), snapshot.m_rank) > 0)
            lastPolledAt = now;
        if (now + roundTime > takeoverTime(snapshot, lastPolledAt))
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StandbyTakeover)

// Load pattern: the demand shifts during a change. Counts are read again while the ranks still have
// the map of the abandoned change prepared.
BOOST_AUTO_TEST_CASE(a_standby_does_not_take_over_while_the_coordinator_reads_counts)
{
    std::vector<std::uint32_t> sampled = {0, 34, 55, 68};
    const auto polledWithStandbys = [&] { return countRoundRanks(sampled, allRanks()); };
    for (const std::uint32_t standby : {1U, 2U})
        BOOST_TEST(!takesOver(standbyDuringChange(standby), polledWithStandbys));
    BOOST_TEST(takesOver(standbyDuringChange(1), [&] { return sampled; }));
}

BOOST_AUTO_TEST_CASE(a_round_polls_no_rank_twice)
{
    const auto polled = countRoundRanks({0, 2, 34}, allRanks());
    BOOST_TEST((polled == std::vector<std::uint32_t>{0, 2, 34, 1}));
}

// Load pattern: the coordinator freezes while the group is held.
BOOST_AUTO_TEST_CASE(a_standby_takes_over_sooner_during_a_change)
{
    const TimePoint now = Clock::now();
    RankSnapshot idle = standbyDuringChange(1);
    idle.m_preparedVersion = idle.m_mapVersion;
    BOOST_TEST((takeoverTime(standbyDuringChange(1), now) <= now + Milliseconds(500)));
    BOOST_TEST((takeoverTime(idle, now) > now + Seconds(1)));
    BOOST_TEST(
        (takeoverTime(standbyDuringChange(2), now) > takeoverTime(standbyDuringChange(1), now)));
}

BOOST_AUTO_TEST_SUITE_END()
