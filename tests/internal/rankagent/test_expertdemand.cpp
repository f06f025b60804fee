#include <burdockhead/rankagent/countdelta.h>
#include <burdockhead/rankagent/expertdemand.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

constexpr std::size_t layers = 2;
constexpr std::size_t experts = 8;
constexpr std::uint64_t countsPerRound = 40000;
constexpr Milliseconds longRunning{60000}; // Age of a rank that has counted for a long time.

// Counts of a rank in a round, with one popular expert.
class RankCounter
{
public:
    const ExpertCounts &round(std::size_t popular)
    {
        m_counts.m_counts.assign(layers * experts, 0);
        for (std::size_t layer = 0; layer < layers; ++layer) {
            for (std::size_t expert = 0; expert < experts; ++expert)
                m_counts.m_counts[layer * experts + expert] +=
                    expert == popular ? countsPerRound : countsPerRound / 20;
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

// Load pattern of the users' groups: a steady demand that shifts abruptly.
BOOST_AUTO_TEST_CASE(a_shift_is_detected_in_the_first_round_after_it)
{
    ExpertDemand demand(layers, experts);
    RankCounter rank;
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

// A round that contains a shift mixes choices from before and after it; a map planned from it fits
// neither demand.
BOOST_AUTO_TEST_CASE(nothing_is_planned_before_a_second_round_agrees_with_the_shift)
{
    ExpertDemand demand(layers, experts);
    RankCounter rank;
    demand.add(rank.round(3));
    demand.endRound();
    BOOST_TEST(demand.hasEnoughData());
    demand.add(rank.round(3));
    demand.add(rank.round(5));
    BOOST_TEST(demand.endRound());
    BOOST_TEST(!demand.hasEnoughData());
    demand.add(rank.round(5));
    BOOST_TEST(demand.endRound());
    BOOST_TEST(!demand.hasEnoughData());
    demand.add(rank.round(5));
    BOOST_TEST(!demand.endRound());
    BOOST_TEST(demand.hasEnoughData());
    BOOST_TEST(share(demand, 5) > 0.7);
}

BOOST_AUTO_TEST_CASE(counts_are_differences_from_the_last_reading)
{
    CountDelta delta;
    const TimePoint now = Clock::now();
    BOOST_TEST(
        (delta.sinceLastReading({1, {100, 50}}, 7, longRunning, now) == ExpertCounts{1, {0, 0}}));
    BOOST_TEST(
        (delta.sinceLastReading({1, {130, 50}}, 7, longRunning, now) == ExpertCounts{1, {30, 0}}));
}

BOOST_AUTO_TEST_CASE(a_restarted_rank_sets_a_new_baseline)
{
    CountDelta delta;
    const TimePoint now = Clock::now();
    delta.sinceLastReading({1, {100, 50}}, 7, longRunning, now);
    BOOST_TEST(
        (delta.sinceLastReading({1, {120, 60}}, 8, longRunning, now) == ExpertCounts{1, {0, 0}}));
    BOOST_TEST(
        (delta.sinceLastReading({1, {125, 61}}, 8, longRunning, now) == ExpertCounts{1, {5, 1}}));
}

// Load pattern: a group forms again after a loss of power, and each round of counts matters.
BOOST_AUTO_TEST_CASE(a_newly_started_rank_reports_all_its_counts)
{
    CountDelta delta;
    const TimePoint now = Clock::now();
    BOOST_TEST((delta.sinceLastReading({1, {100, 50}}, 7, Milliseconds(800), now)
                == ExpertCounts{1, {100, 50}}));
    BOOST_TEST((delta.sinceLastReading({1, {130, 50}}, 7, Milliseconds(900), now)
                == ExpertCounts{1, {30, 0}}));
    // A start in the future means that the clock has jumped.
    CountDelta futureStart;
    BOOST_TEST((futureStart.sinceLastReading({1, {100, 50}}, 7, Milliseconds(-800), now)
                == ExpertCounts{1, {0, 0}}));
}

// Counts over several seconds would hide a shift of the demand.
BOOST_AUTO_TEST_CASE(counts_of_a_rank_not_read_for_long_are_discarded)
{
    CountDelta delta;
    const TimePoint now = Clock::now();
    delta.sinceLastReading({1, {100, 50}}, 7, longRunning, now);
    const TimePoint later = now + Seconds(5);
    BOOST_TEST((delta.sinceLastReading({1, {9100, 50}}, 7, longRunning, later)
                == ExpertCounts{1, {0, 0}}));
    BOOST_TEST((delta.sinceLastReading({1, {9130, 52}}, 7, longRunning, later)
                == ExpertCounts{1, {30, 2}}));
}

BOOST_AUTO_TEST_CASE(a_round_with_few_counts_continues)
{
    ExpertDemand demand(layers, experts);
    demand.add({1, std::vector<std::uint64_t>(layers * experts, 3)});
    BOOST_TEST(!demand.endRound());
    BOOST_TEST(!demand.hasEnoughData());
}

BOOST_AUTO_TEST_CASE(counts_of_a_different_shape_are_ignored)
{
    ExpertDemand demand(layers, experts);
    demand.add({1, std::vector<std::uint64_t>(3, 100000)});
    BOOST_TEST(!demand.hasEnoughData());
}

BOOST_AUTO_TEST_SUITE_END()
