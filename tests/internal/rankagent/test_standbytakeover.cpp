#include <burdockhead/rankagent/standbytakeover.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>

using namespace burdockhead;

namespace {

constexpr Milliseconds roundTime{150};
constexpr int roundsForFullOne = 5; // All ranks are asked about every 700 ms.

std::vector<std::uint32_t> allRanks()
{
    std::vector<std::uint32_t> ranks(72);
    std::iota(ranks.begin(), ranks.end(), 0);
    return ranks;
}

// A deputy whose rank has loaded a map that is not in use yet.
RankView deputyInChange(std::uint32_t rank)
{
    RankView view;
    view.m_rank = rank;
    view.m_ranks = 72;
    view.m_map = 4;
    view.m_prepared = 5;
    return view;
}

// Whether a deputy takes over in ten seconds of a coordinator that reads counts.
template <typename Ask>
bool takesOver(const RankView &view, const Ask &rankOfRound)
{
    TimePoint now = Clock::now();
    TimePoint askedAt = now;
    for (int round = 0; round < 70; ++round, now += roundTime) {
        const auto asked = round % roundsForFullOne == 0 ? allRanks() : rankOfRound();
        if (std::count(asked.begin(), asked.end(), view.m_rank) > 0)
            askedAt = now;
        if (now + roundTime > takesOverAt(view, askedAt))
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Deputies)

// The load pattern of a demand that shifts in the midst of a change: counts are read anew, while
// the ranks still have the map of the change that was given up.
BOOST_AUTO_TEST_CASE(a_deputy_does_not_take_over_while_the_coordinator_reads_counts)
{
    std::vector<std::uint32_t> counted = {0, 34, 55, 68};
    const auto ours = [&] { return ranksOfCountRound(counted, allRanks()); };
    for (const std::uint32_t deputy : {1U, 2U})
        BOOST_TEST(!takesOver(deputyInChange(deputy), ours));
    BOOST_TEST(takesOver(deputyInChange(1), [&] { return counted; }));
}

BOOST_AUTO_TEST_CASE(a_round_asks_no_rank_twice)
{
    const auto asked = ranksOfCountRound({0, 2, 34}, allRanks());
    BOOST_TEST((asked == std::vector<std::uint32_t>{0, 2, 34, 1}));
}

// The load pattern of a coordinator that is frozen with the group held.
BOOST_AUTO_TEST_CASE(a_deputy_takes_over_sooner_during_a_change)
{
    const TimePoint now = Clock::now();
    RankView idle = deputyInChange(1);
    idle.m_prepared = idle.m_map;
    BOOST_TEST((takesOverAt(deputyInChange(1), now) <= now + Milliseconds(500)));
    BOOST_TEST((takesOverAt(idle, now) > now + Seconds(1)));
    BOOST_TEST((takesOverAt(deputyInChange(2), now) > takesOverAt(deputyInChange(1), now)));
}

BOOST_AUTO_TEST_SUITE_END()
