#include <burdockhead/rankagent/countdelta.h>
#include <burdockhead/rankagent/expertdemand.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

constexpr std::size_t layers = 2;
constexpr std::size_t experts = 8;
constexpr std::uint64_t perRound = 40000;
constexpr Milliseconds old{60000}; // The age of a rank that has counted for long.

// What a rank counts in a round, for one expert most.
class CountingRank
{
public:
    const ExpertCounts &round(std::size_t popular)
    {
        m_counts.m_counts.assign(layers * experts, 0);
        for (std::size_t layer = 0; layer < layers; ++layer) {
            for (std::size_t expert = 0; expert < experts; ++expert)
                m_counts.m_counts[layer * experts + expert] +=
                    expert == popular ? perRound : perRound / 20;
        }
        return m_counts;
    }

private:
    ExpertCounts m_counts{1, std::vector<std::uint64_t>(layers *experts, 0)};
};

double share(const ExpertDemand &demand, std::size_t expert)
{
    double total = 0;
    for (const double load : demand.loads().m_layers.front())
        total += load;
    return demand.loads().m_layers.front()[expert] / total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Demand)

// The load pattern of the users' groups: a steady demand that shifts at once.
BOOST_AUTO_TEST_CASE(a_shift_shows_in_the_first_round_after_it)
{
    ExpertDemand demand(layers, experts);
    CountingRank rank;
    for (int round = 0; round < 30; ++round) {
        demand.add(rank.round(3));
        BOOST_TEST(!demand.endRound());
    }
    BOOST_TEST(share(demand, 3) > 0.7);
    demand.add(rank.round(5));
    BOOST_TEST(demand.endRound());
    BOOST_TEST(share(demand, 5) > 0.7);
    BOOST_TEST(share(demand, 3) < 0.1);
}

// A round that a shift falls into counts choices from before and after it: a map that is
// planned by it fits neither.
BOOST_AUTO_TEST_CASE(nothing_is_planned_before_a_second_round_agrees_with_the_shift)
{
    ExpertDemand demand(layers, experts);
    CountingRank rank;
    demand.add(rank.round(3));
    demand.endRound();
    BOOST_TEST(demand.isTelling());
    demand.add(rank.round(3));
    demand.add(rank.round(5));
    BOOST_TEST(demand.endRound());
    BOOST_TEST(!demand.isTelling());
    demand.add(rank.round(5));
    BOOST_TEST(demand.endRound());
    BOOST_TEST(!demand.isTelling());
    demand.add(rank.round(5));
    BOOST_TEST(!demand.endRound());
    BOOST_TEST(demand.isTelling());
    BOOST_TEST(share(demand, 5) > 0.7);
}

BOOST_AUTO_TEST_CASE(counts_are_told_from_the_last_reading_on)
{
    CountDelta difference;
    const TimePoint now = Clock::now();
    BOOST_TEST((difference.since({1, {100, 50}}, 7, old, now) == ExpertCounts{1, {0, 0}}));
    BOOST_TEST((difference.since({1, {130, 50}}, 7, old, now) == ExpertCounts{1, {30, 0}}));
}

BOOST_AUTO_TEST_CASE(a_rank_that_starts_again_counts_anew)
{
    CountDelta difference;
    const TimePoint now = Clock::now();
    difference.since({1, {100, 50}}, 7, old, now);
    BOOST_TEST((difference.since({1, {120, 60}}, 8, old, now) == ExpertCounts{1, {0, 0}}));
    BOOST_TEST((difference.since({1, {125, 61}}, 8, old, now) == ExpertCounts{1, {5, 1}}));
}

// The load pattern of a group that forms again after a loss of power: each round counts.
BOOST_AUTO_TEST_CASE(a_rank_that_has_just_started_tells_all_that_it_has_counted)
{
    CountDelta difference;
    const TimePoint now = Clock::now();
    BOOST_TEST((difference.since({1, {100, 50}}, 7, Milliseconds(800), now)
                == ExpertCounts{1, {100, 50}}));
    BOOST_TEST(
        (difference.since({1, {130, 50}}, 7, Milliseconds(900), now) == ExpertCounts{1, {30, 0}}));
    // A start that lies ahead is a clock that has jumped.
    CountDelta other;
    BOOST_TEST(
        (other.since({1, {100, 50}}, 7, Milliseconds(-800), now) == ExpertCounts{1, {0, 0}}));
}

// Counts of several seconds would hide a shift of the demand in between.
BOOST_AUTO_TEST_CASE(counts_of_a_rank_that_was_not_read_for_long_are_not_told)
{
    CountDelta difference;
    const TimePoint now = Clock::now();
    difference.since({1, {100, 50}}, 7, old, now);
    const TimePoint later = now + Seconds(5);
    BOOST_TEST((difference.since({1, {9100, 50}}, 7, old, later) == ExpertCounts{1, {0, 0}}));
    BOOST_TEST((difference.since({1, {9130, 52}}, 7, old, later) == ExpertCounts{1, {30, 2}}));
}

BOOST_AUTO_TEST_CASE(few_counts_wait_for_more)
{
    ExpertDemand demand(layers, experts);
    demand.add({1, std::vector<std::uint64_t>(layers * experts, 3)});
    BOOST_TEST(!demand.endRound());
    BOOST_TEST(!demand.isTelling());
}

BOOST_AUTO_TEST_CASE(counts_of_another_shape_are_ignored)
{
    ExpertDemand demand(layers, experts);
    demand.add({1, std::vector<std::uint64_t>(3, 100000)});
    BOOST_TEST(!demand.isTelling());
}

BOOST_AUTO_TEST_SUITE_END()
