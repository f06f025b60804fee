#include "abandoningrollout.h"
#include "rolloutsearch.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

constexpr Milliseconds fresh{10};

RolloutDecision nextRound(MapRollout &rollout, const std::vector<RankSnapshot> &snapshots,
                          std::optional<std::uint64_t> plannedVersion)
{
    return rollout.next(snapshots, plannedVersion, fresh);
}

RolloutDecision nextAbandoningRound(MapRollout &rollout, const std::vector<RankSnapshot> &snapshots,
                                    std::optional<std::uint64_t> plannedVersion)
{
    return abandonUnprepared(rollout, snapshots, plannedVersion, fresh);
}

// Faulty coordinator: resumes a group that is held without rank 0, whatever has been prepared at
// the last rank since that was read.
RolloutDecision nextUnguardedRound(MapRollout &rollout, const std::vector<RankSnapshot> &snapshots,
                                   std::optional<std::uint64_t> plannedVersion)
{
    RolloutDecision decision = rollout.next(snapshots, plannedVersion, fresh);
    for (RankOrder &order : decision.m_orders)
        order.m_expectedSequence.reset();
    return decision;
}

// Faulty source: takes the time of day, or while that is behind, what the ranks report.
std::uint64_t drawReportedVersion(MapVersionSequence &, const std::vector<RankSnapshot> &snapshots,
                                  std::uint64_t wallMicroseconds)
{
    return std::max(MapRollout::nextVersion(snapshots), wallMicroseconds);
}

void requireNoSplit(SearchBounds bounds)
{
    for (const bool areSeedsAscending : {true, false}) {
        bounds.m_areSeedsAscending = areSeedsAscending;
        const SearchResult result = searchRollout(bounds, nextRound);
        for (const std::string &event : result.m_trace)
            BOOST_TEST_MESSAGE(event);
        BOOST_TEST_MESSAGE(result.m_states << " states");
        BOOST_TEST(result.m_trace.empty());
        BOOST_TEST(result.m_isExhausted, "only " << result.m_states << " states were visited");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutSearch)

BOOST_AUTO_TEST_CASE(no_step_is_split_by_two_coordinators_in_any_order_of_events)
{
    SearchBounds bounds;
    bounds.m_plans = 2;
    bounds.m_lastStep = 4;
    requireNoSplit(bounds);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_any_order_that_is_carried_out_late)
{
    SearchBounds bounds;
    bounds.m_lateOrders = 1;
    requireNoSplit(bounds);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_any_old_report_of_a_rank_whose_agent_is_gone)
{
    SearchBounds bounds;
    bounds.m_isRank1Lagging = true;
    requireNoSplit(bounds);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_a_coordinator_that_ends_at_any_point)
{
    SearchBounds bounds;
    bounds.m_plans = 2;
    bounds.m_restarts = 1;
    requireNoSplit(bounds);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_three_coordinators_of_a_group_that_was_left_held)
{
    SearchBounds bounds;
    bounds.m_coordinators = 3;
    bounds.m_plans = 2;
    bounds.m_isHeldAtFirst = true;
    bounds.m_lastStep = 2;
    requireNoSplit(bounds);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_ending_a_hold_without_rank_0)
{
    SearchBounds bounds;
    bounds.m_plans = 2;
    bounds.m_isHeldAtFirst = true;
    bounds.m_lastStep = 2;
    bounds.m_isRank0Silent = true;
    bounds.m_maxStates = 3000000;
    requireNoSplit(bounds);
}

// The fault that callers saw: a step began with two maps of one version after a clock had jumped
// back.
BOOST_AUTO_TEST_CASE(no_step_is_split_by_a_plan_that_replaces_one_on_its_way)
{
    SearchBounds bounds;
    bounds.m_coordinators = 1;
    bounds.m_plans = 3;
    bounds.m_droppedPlans = 2;
    bounds.m_areLoadsSlow = true;
    bounds.m_lateOrders = 2;
    requireNoSplit(bounds);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_coordinators_whose_clocks_differ_and_jump)
{
    SearchBounds bounds;
    bounds.m_plans = 2;
    bounds.m_clockJumps = 1;
    requireNoSplit(bounds);
    bounds.m_firstClock = SearchClock::Ahead;
    requireNoSplit(bounds);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_two_coordinators_whose_ranks_load_for_some_time)
{
    SearchBounds bounds;
    bounds.m_plans = 2;
    bounds.m_areLoadsSlow = true;
    requireNoSplit(bounds);
}

// By hand, some minutes and 6 GB: --run_test=RolloutSearch/wide_bounds
BOOST_AUTO_TEST_CASE(wide_bounds, *boost::unit_test::disabled())
{
    SearchBounds bounds;
    bounds.m_maxStates = 14000000;
    bounds.m_plans = 2;
    bounds.m_lateOrders = 1;
    requireNoSplit(bounds);
    bounds.m_plans = 1;
    bounds.m_doubledOrders = 1;
    requireNoSplit(bounds);
    bounds.m_doubledOrders = 0;
    bounds.m_isRank1Lagging = true;
    requireNoSplit(bounds);
    bounds.m_isRank1Lagging = false;
    bounds.m_restarts = 1;
    bounds.m_lastStep = 4;
    requireNoSplit(bounds);
    SearchBounds threeCoordinators;
    threeCoordinators.m_coordinators = 3;
    threeCoordinators.m_maxStates = 14000000;
    requireNoSplit(threeCoordinators);
    SearchBounds silent;
    silent.m_maxStates = 14000000;
    silent.m_plans = 2;
    silent.m_isHeldAtFirst = true;
    silent.m_lastStep = 2;
    silent.m_isRank0Silent = true;
    silent.m_restarts = 1;
    requireNoSplit(silent);
}

// The fault that callers saw: a part of the ranks began a step with another map after the agent
// beside rank 1 had been killed.
BOOST_AUTO_TEST_CASE(a_coordinator_that_disarms_what_another_one_resumes_is_found)
{
    SearchBounds bounds;
    bounds.m_areCoordinatorsAlike = false;
    const SearchResult result = searchRollout(bounds, nextAbandoningRound);
    for (const std::string &event : result.m_trace)
        BOOST_TEST_MESSAGE(event);
    BOOST_TEST(!result.m_trace.empty());
}

// The fault that callers saw, in one coordinator that replaces its plan, in two, and in one that
// follows another.
BOOST_AUTO_TEST_CASE(versions_from_the_time_of_day_and_the_reports_are_found)
{
    SearchBounds replaced;
    replaced.m_coordinators = 1;
    replaced.m_plans = 2;
    replaced.m_droppedPlans = 1;
    replaced.m_lateOrders = 1;
    replaced.m_areLoadsSlow = true;
    SearchBounds two;
    two.m_plans = 2;
    SearchBounds restarted;
    restarted.m_coordinators = 1;
    restarted.m_plans = 2;
    restarted.m_restarts = 1;
    restarted.m_lateOrders = 1;
    restarted.m_areLoadsSlow = true;
    for (const SearchBounds &bounds : {replaced, two, restarted}) {
        const SearchResult result = searchRollout(bounds, nextRound, drawReportedVersion);
        for (const std::string &event : result.m_trace)
            BOOST_TEST_MESSAGE(event);
        BOOST_TEST(!result.m_trace.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_hold_that_is_ended_without_rank_0_and_without_a_guard_is_found)
{
    SearchBounds bounds;
    bounds.m_plans = 3;
    bounds.m_isHeldAtFirst = true;
    bounds.m_lastStep = 2;
    bounds.m_isRank0Silent = true;
    bounds.m_maxStates = 3000000;
    BOOST_TEST(!searchRollout(bounds, nextUnguardedRound).m_trace.empty());
}

BOOST_AUTO_TEST_SUITE_END()
