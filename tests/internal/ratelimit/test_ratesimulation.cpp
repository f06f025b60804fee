#include "property.h"
#include "ratesimulation.h"

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// Checks that endpoints get no more than the platform's bound and no less than that fraction of
// what they take, and that all requests are served when they name no rate any more.
void checkScenario(const RateScenario &scenario, double leastUsed, int seeds = 3)
{
    for (int seed = 1; seed <= seeds; ++seed) {
        RateSimulation simulation(scenario, static_cast<std::uint64_t>(seed));
        simulation.run();
        const auto broken = simulation.findBrokenWindow();
        BOOST_TEST(!broken.has_value(), "seed " << seed << ": " << (broken ? broken->m_requests : 0)
                                                << " requests, allowed "
                                                << (broken ? broken->m_allowed : 0));
        BOOST_TEST(simulation.usedFraction() >= leastUsed,
                   "seed " << seed << ": " << simulation.usedFraction());
        BOOST_TEST(simulation.usedFraction() <= 1.1, "seed " << seed);
        BOOST_TEST(simulation.refusedAfterwards() == 0U, "seed " << seed);
    }
}

bool breaksBound(RateScenario scenario, RateStrategy strategy)
{
    scenario.m_strategy = strategy;
    RateSimulation simulation(scenario, 1);
    simulation.run();
    return simulation.findBrokenWindow().has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RateFleet)

BOOST_AUTO_TEST_CASE(many_gateways_together_keep_to_the_rate_that_an_endpoint_names)
{
    RateScenario scenario;
    checkScenario(scenario, 0.7);
    BOOST_TEST(breaksBound(scenario, RateStrategy::WholeRate));
}

BOOST_AUTO_TEST_CASE(gateways_keep_to_the_rate_while_other_endpoints_take_the_rest)
{
    RateScenario scenario;
    scenario.m_limited = 4;
    checkScenario(scenario, 0.7);
}

// One request of each at once would be too many.
BOOST_AUTO_TEST_CASE(hundreds_of_gateways_keep_to_a_low_rate)
{
    RateScenario scenario;
    scenario.m_gateways = 330;
    scenario.m_busyGateways = 330;
    scenario.m_requestsPerSecond = 400;
    scenario.m_rate = 20;
    checkScenario(scenario, 0.5, 1);
    BOOST_TEST(breaksBound(scenario, RateStrategy::EqualParts));
}

BOOST_AUTO_TEST_CASE(a_rate_is_used_where_all_requests_arrive_at_one_gateway)
{
    RateScenario scenario;
    scenario.m_busyGateways = 1;
    checkScenario(scenario, 0.6);
}

BOOST_AUTO_TEST_CASE(gateways_keep_to_the_rate_while_requests_move_from_gateway_to_gateway)
{
    for (const Milliseconds interval : {Milliseconds(1000), Milliseconds(3000)}) {
        RateScenario scenario;
        scenario.m_busyGateways = 2;
        scenario.m_shiftInterval = interval;
        checkScenario(scenario, 0.3);
    }
}

BOOST_AUTO_TEST_CASE(gateways_keep_to_the_rate_while_some_restart)
{
    RateScenario scenario;
    scenario.m_restarts = 8;
    checkScenario(scenario, 0.5);
}

// What waited arrives at once when they run again.
BOOST_AUTO_TEST_CASE(endpoints_that_stand_still_get_no_more_than_their_rate)
{
    RateScenario scenario;
    scenario.m_rate = 3;
    scenario.m_standstillAt = TimePoint(Seconds(20));
    checkScenario(scenario, 0.5);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_takes_nothing_is_asked_by_single_requests)
{
    RateScenario scenario;
    scenario.m_rate = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        RateSimulation simulation(scenario, seed);
        simulation.run();
        BOOST_TEST(!simulation.findBrokenWindow().has_value(), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(no_fleet_and_no_demand_exceeds_the_rate)
{
    checkProperty("2 to 44 gateways", [] {
        RateScenario scenario;
        scenario.m_gateways = *rc::gen::weightedElement<std::size_t>({{10, 2}, {10, 9}, {3, 44}});
        scenario.m_endpoints = *rc::gen::inRange<std::size_t>(1, 9);
        scenario.m_limited = *rc::gen::inRange<std::size_t>(1, scenario.m_endpoints + 1);
        scenario.m_rate = *rc::gen::element(0.0, 0.3, 1.0, 1.3, 2.2, 5.0, 20.0, 100.0);
        scenario.m_requestsPerSecond = *rc::gen::inRange(2, 200);
        scenario.m_busyGateways = *rc::gen::inRange<std::size_t>(1, scenario.m_gateways + 1);
        scenario.m_shiftInterval = Milliseconds(*rc::gen::element(0, 500, 2000, 5000));
        scenario.m_serviceTime = Milliseconds(*rc::gen::element(10, 100, 1500));
        scenario.m_connectTime = Milliseconds(*rc::gen::element(1, 400));
        scenario.m_gossipLoss = *rc::gen::element(0.0, 0.05);
        scenario.m_restarts = *rc::gen::inRange<std::size_t>(0, 6);
        RateSimulation simulation(scenario, *rc::gen::arbitrary<std::uint32_t>());
        simulation.run();
        const auto broken = simulation.findBrokenWindow();
        if (broken)
            RC_FAIL(std::to_string(broken->m_requests) + " requests, allowed "
                    + std::to_string(broken->m_allowed));
    });
}

BOOST_AUTO_TEST_SUITE_END()
