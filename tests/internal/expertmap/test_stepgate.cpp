#include "gatesimulation.h"

#include <algorithm>
#include <property.h>

using namespace burdockhead;

namespace {

constexpr int runCount = 2000;
constexpr std::size_t eventsPerRun = 2000;

std::vector<std::uint32_t> drawEvents(std::uint64_t seed)
{
    Random random(seed);
    std::vector<std::uint32_t> events(eventsPerRun);
    for (std::uint32_t &event : events)
        event = static_cast<std::uint32_t>(random());
    return events;
}

// Returns the number of runs, with seeds 1 to runCount, that violate the invariant.
int countViolations(RankActorFactory factory, bool enginesCheckSequence = true)
{
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= runCount; ++seed) {
        GateSimulation simulation(factory, enginesCheckSequence);
        for (const std::uint32_t event : drawEvents(seed))
            simulation.apply(event);
        violations += simulation.hasViolation() ? 1 : 0;
    }
    return violations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StepGate)

BOOST_AUTO_TEST_CASE(all_ranks_use_one_map_in_every_step_and_a_change_goes_live_after_faults)
{
    checkProperty("one map in every step", [] {
        const auto events = *rc::gen::resize(1500, rc::gen::container<std::vector<std::uint32_t>>(
                                                       rc::gen::arbitrary<std::uint32_t>()));
        GateSimulation simulation(&makeAgent);
        for (const std::uint32_t event : events)
            simulation.apply(event);
        RC_ASSERT(!simulation.hasViolation());
        RC_ASSERT(simulation.recover());
        RC_ASSERT(!simulation.hasViolation());
    });
}

BOOST_AUTO_TEST_CASE(long_runs_from_fixed_seeds_hold_and_see_changes_go_live)
{
    std::size_t live = 0;
    std::vector<Milliseconds> recoveries;
    for (std::uint64_t seed = 1; seed <= runCount; ++seed) {
        GateSimulation simulation(&makeAgent);
        for (const std::uint32_t event : drawEvents(seed))
            simulation.apply(event);
        live += simulation.effectiveChangeCount();
        BOOST_REQUIRE_MESSAGE(!simulation.hasViolation(), "seed " << seed);
        BOOST_REQUIRE_MESSAGE(simulation.recover(), "no recovery, seed " << seed);
        BOOST_REQUIRE_MESSAGE(!simulation.hasViolation(), "after the faults, seed " << seed);
        recoveries.push_back(simulation.recoveryTime());
    }
    std::sort(recoveries.begin(), recoveries.end());
    BOOST_TEST_MESSAGE("recovery in ms, median " << recoveries[runCount / 2].count() << ", longest "
                                                 << recoveries.back().count());
    BOOST_TEST_MESSAGE("changes that went live under faults: " << live);
    BOOST_TEST(live > 100U);
}

BOOST_AUTO_TEST_CASE(a_switch_without_promises_is_caught)
{
    const int violations = countViolations(&makeImmediateSwitchAgent);
    BOOST_TEST_MESSAGE("switch at once: " << violations << " of " << runCount);
    BOOST_TEST(violations > 0);
}

BOOST_AUTO_TEST_CASE(a_promise_that_lapses_is_caught)
{
    const int violations = countViolations(&makeLeaseAgent);
    BOOST_TEST_MESSAGE("lease: " << violations << " of " << runCount);
    BOOST_TEST(violations > 0);
}

BOOST_AUTO_TEST_CASE(a_vote_forgotten_in_a_restart_is_caught)
{
    const int violations = countViolations(&makeForgettingAgent);
    BOOST_TEST_MESSAGE("forgetful: " << violations << " of " << runCount);
    BOOST_TEST(violations > 0);
}

BOOST_AUTO_TEST_CASE(an_order_applied_after_a_later_one_is_caught)
{
    const int violations = countViolations(&makeAgent, false);
    BOOST_TEST_MESSAGE("late orders: " << violations << " of " << runCount);
    BOOST_TEST(violations > 0);
}

BOOST_AUTO_TEST_SUITE_END()
