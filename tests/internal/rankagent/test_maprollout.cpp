#include "abandoningrollout.h"
#include "groupsimulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

constexpr std::uint64_t seeds = 300;
constexpr std::size_t ranks = 6;
constexpr std::size_t rounds = 400;

NextOrders makeRollout()
{
    const auto rollout = std::make_shared<MapRollout>();
    return [rollout](const auto &snapshots, auto plannedVersion, auto age) {
        return rollout->next(snapshots, plannedVersion, age);
    };
}

// Faulty coordinator: arms all ranks for a step slightly ahead, without a hold.
NextOrders makeWithoutHold()
{
    return [](const std::vector<RankSnapshot> &snapshots,
              std::optional<std::uint64_t> plannedVersion, Milliseconds age) {
        RolloutDecision decision = MapRollout().next(snapshots, plannedVersion, age);
        std::vector<RankOrder> orders;
        for (const RankOrder &order : decision.m_orders) {
            if (order.m_type == RankOrderType::Prepare)
                orders.push_back(order);
            if (order.m_type != RankOrderType::Hold)
                continue;
            for (const RankSnapshot &snapshot : snapshots)
                orders.push_back({snapshot.m_rank, RankOrderType::Arm, snapshot.m_epoch,
                                  *plannedVersion, order.m_step});
        }
        decision.m_orders = orders;
        return decision;
    };
}

// Faulty coordinator: abandons a change whose ranks aren't all armed in the second round, and
// resumes the group.
NextOrders makeAbandoningChange()
{
    return [](const std::vector<RankSnapshot> &snapshots,
              std::optional<std::uint64_t> plannedVersion, Milliseconds age) {
        RolloutDecision decision = MapRollout().next(snapshots, plannedVersion, age);
        const auto held = snapshots.back().m_heldStep;
        const bool isArming = !decision.m_orders.empty() && held
                              && decision.m_orders.front().m_type == RankOrderType::Arm;
        // In the first round all ranks but rank 0 are ordered to arm.
        if (isArming && decision.m_orders.size() < snapshots.size() - 1) {
            decision.m_orders.clear();
            for (const RankSnapshot &snapshot : snapshots) {
                if (snapshot.m_armed)
                    decision.m_orders.push_back({snapshot.m_rank, RankOrderType::Disarm,
                                                 snapshot.m_epoch, snapshot.m_armed->m_version, 0});
            }
            decision.m_orders.push_back({snapshots.back().m_rank, RankOrderType::Resume,
                                         snapshots.back().m_epoch, 0, *held});
        }
        return decision;
    };
}

NextOrders makeAbandoningUnprepared()
{
    const auto rollout = std::make_shared<MapRollout>();
    return [rollout](const auto &snapshots, auto plannedVersion, auto age) {
        return abandonUnprepared(*rollout, snapshots, plannedVersion, age);
    };
}

// Faulty coordinator: resumes the group without rank 0 although all others may be armed.
NextOrders makeResumingUnchecked()
{
    return [](const std::vector<RankSnapshot> &snapshots,
              std::optional<std::uint64_t> plannedVersion, Milliseconds age) {
        if (snapshots.size() == ranks || !snapshots.back().m_heldStep)
            return MapRollout().next(snapshots, plannedVersion, age);
        RolloutDecision decision;
        for (const RankSnapshot &snapshot : snapshots) {
            if (snapshot.m_armed)
                decision.m_orders.push_back({snapshot.m_rank, RankOrderType::Disarm,
                                             snapshot.m_epoch, snapshot.m_armed->m_version, 0});
        }
        if (decision.m_orders.empty())
            decision.m_orders.push_back({snapshots.back().m_rank, RankOrderType::Resume,
                                         snapshots.back().m_epoch, 0,
                                         *snapshots.back().m_heldStep});
        return decision;
    };
}

// Faulty coordinator: waits for the snapshot of every rank.
NextOrders makeWaitingForAll()
{
    const auto rollout = std::make_shared<MapRollout>();
    return [rollout](const std::vector<RankSnapshot> &snapshots,
                     std::optional<std::uint64_t> plannedVersion, Milliseconds age) {
        return snapshots.size() == ranks ? rollout->next(snapshots, plannedVersion, age)
                                         : RolloutDecision();
    };
}

const GroupFaults noFaults;
const GroupFaults lateOrders = {0.2, 0.3, 0.05, 0, 0};
const GroupFaults restarts = {0.1, 0.2, 0.05, 0.05, 0};
const GroupFaults allFaults = {0.2, 0.3, 0.1, 0.03, 0.1};
const GroupFaults twoCoordinators = {0, 0, 0, 0, 0.3, 2};
const GroupFaults allFaultsTwoCoordinators = {0.2, 0.3, 0.1, 0.03, 0.3, 2};
const GroupFaults freezes = {0, 0, 0, 0, 0, 2, 0.5};
const GroupFaults freezesAndLateOrders = {0.1, 0.2, 0.05, 0.02, 0.2, 3, 0.5};
const GroupFaults mixedAges = {0, 0, 0, 0, 0, 2, 0, 0.3, 0.2};
const GroupFaults allFaultsMixedAges = {0.2, 0.3, 0.1, 0.05, 0.3, 3, 0, 0.3, 0.2};
const GroupFaults freezesAndMixedAges = {0.1, 0.2, 0.05, 0.05, 0.2, 3, 0.5, 0.3, 0.2};
const GroupFaults replacedPlans = {0.2, 0.3, 0.1, 0.03, 0.3, 3, 0, 0.3, 0.2, 0.3, 0.1};

std::size_t countSplits(const GroupFaults &faults, const std::function<NextOrders()> &make)
{
    std::size_t count = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        GroupSimulation group(ranks, faults, seed);
        group.run(rounds, make);
        count += group.hasSplit() ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Rollout)

BOOST_AUTO_TEST_CASE(maps_change_one_after_the_other_without_faults)
{
    GroupSimulation group(ranks, noFaults, 1);
    group.run(rounds, makeRollout);
    BOOST_TEST(!group.hasSplit());
    BOOST_TEST(group.mapChanges() > 10U);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_late_lost_and_duplicate_orders)
{
    BOOST_TEST(countSplits(lateOrders, makeRollout) == 0U);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_when_the_coordinator_restarts_at_any_moment)
{
    BOOST_TEST(countSplits(restarts, makeRollout) == 0U);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_orders_from_stale_snapshots_and_all_faults_together)
{
    BOOST_TEST(countSplits(allFaults, makeRollout) == 0U);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_by_two_coordinators_one_of_which_wakes_from_a_freeze)
{
    BOOST_TEST(countSplits(twoCoordinators, makeRollout) == 0U);
    BOOST_TEST(countSplits(allFaultsTwoCoordinators, makeRollout) == 0U);
}

// Two coordinators, both sound: one of them read a rank's report from before the other had its map
// prepared there, and disarmed the others while the group was resumed.
BOOST_AUTO_TEST_CASE(no_step_is_split_by_coordinators_that_read_ranks_at_different_times)
{
    BOOST_TEST(countSplits(mixedAges, makeRollout) == 0U);
    BOOST_TEST(countSplits(allFaultsMixedAges, makeRollout) == 0U);
    BOOST_TEST(countSplits(freezesAndMixedAges, makeRollout) == 0U);
    BOOST_TEST(countSplits(mixedAges, makeAbandoningUnprepared) > 0U);
}

// A plan that replaced one on its way got its version, while the clock was behind.
BOOST_AUTO_TEST_CASE(no_step_is_split_by_plans_that_replace_one_another_while_clocks_jump)
{
    BOOST_TEST(countSplits(replacedPlans, makeRollout) == 0U);
}

BOOST_AUTO_TEST_CASE(no_step_is_split_when_the_vm_of_the_coordinator_and_rank_0_freezes)
{
    BOOST_TEST(countSplits(freezes, makeRollout) == 0U);
    BOOST_TEST(countSplits(freezesAndLateOrders, makeRollout) == 0U);
    BOOST_TEST(countSplits(freezes, makeResumingUnchecked) > 0U);
}

// Load pattern: a VM freezes while the group is held, which stops all work until the group resumes.
BOOST_AUTO_TEST_CASE(a_standby_ends_a_hold_whose_coordinator_has_frozen_with_rank_0)
{
    std::size_t ended = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        GroupSimulation group(ranks, freezes, seed);
        group.run(rounds, makeRollout);
        BOOST_TEST(group.needlessHolds() == 0U, "seed " << seed);
        ended += group.holdsEndedWhileFrozen();
    }
    BOOST_TEST(ended > seeds / 4);
    std::size_t needless = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        GroupSimulation waiting(ranks, freezes, seed);
        waiting.run(rounds, makeWaitingForAll);
        needless += waiting.needlessHolds();
    }
    BOOST_TEST(needless > 0U);
}

BOOST_AUTO_TEST_CASE(a_group_left_held_by_faults_resumes)
{
    for (const GroupFaults &faults :
         {allFaults, allFaultsTwoCoordinators, allFaultsMixedAges, freezesAndMixedAges}) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            GroupSimulation group(ranks, faults, seed);
            group.run(rounds, makeRollout);
            BOOST_TEST(group.recovers(makeRollout), "seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(late_orders_split_steps_without_the_hold)
{
    BOOST_TEST(countSplits(lateOrders, makeWithoutHold) > 0U);
}

BOOST_AUTO_TEST_CASE(late_orders_split_steps_when_a_change_is_abandoned_halfway)
{
    BOOST_TEST(countSplits(lateOrders, makeAbandoningChange) > 0U);
}

// Found by fuzzing, seeds 2814 and 5043 of 20,000: another coordinator had ordered the ranks to
// prepare a map, and armed them with it before the order to resume arrived.
BOOST_AUTO_TEST_CASE(a_group_is_not_resumed_because_its_ranks_show_nothing_prepared)
{
    constexpr Milliseconds fresh{10};
    std::vector<RankSnapshot> snapshots(ranks);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        snapshots[rank].m_rank = static_cast<std::uint32_t>(rank);
        snapshots[rank].m_rankCount = ranks;
        snapshots[rank].m_isGroupRunning = true;
        snapshots[rank].m_step = 7;
    }
    snapshots.back().m_heldStep = 8;
    const auto resumesGroup = [](const RolloutDecision &decision) {
        return std::any_of(
            decision.m_orders.begin(), decision.m_orders.end(),
            [](const RankOrder &order) { return order.m_type == RankOrderType::Resume; });
    };
    BOOST_TEST(!resumesGroup(MapRollout().next(snapshots, std::nullopt, fresh)));
    BOOST_TEST(!resumesGroup(MapRollout().next(snapshots, 3, fresh)));
    snapshots.erase(snapshots.begin());
    BOOST_TEST(!resumesGroup(MapRollout().next(snapshots, std::nullopt, fresh)));
    BOOST_TEST(!resumesGroup(MapRollout().next(snapshots, 3, fresh)));
}

BOOST_AUTO_TEST_CASE(no_orders_follow_from_stale_snapshots_an_unknown_rank_or_a_broken_group)
{
    GroupSimulation group(ranks, noFaults, 1);
    std::vector<RankSnapshot> snapshots(ranks);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        snapshots[rank].m_rank = static_cast<std::uint32_t>(rank);
        snapshots[rank].m_rankCount = ranks;
        snapshots[rank].m_isGroupRunning = true;
    }
    constexpr Milliseconds fresh{10};
    BOOST_TEST(!MapRollout().next(snapshots, 1, fresh).m_orders.empty());
    BOOST_TEST(MapRollout().next(snapshots, 1, Seconds(1)).m_orders.empty());
    auto broken = snapshots;
    broken[3].m_isGroupRunning = false;
    BOOST_TEST(MapRollout().next(broken, 1, fresh).m_orders.empty());
    auto reformed = snapshots;
    reformed[2].m_epoch = 7;
    BOOST_TEST(MapRollout().next(reformed, 1, fresh).m_orders.empty());
    auto unknown = snapshots;
    unknown.pop_back();
    BOOST_TEST(MapRollout().next(unknown, 1, fresh).m_orders.empty());
}

BOOST_AUTO_TEST_SUITE_END()
