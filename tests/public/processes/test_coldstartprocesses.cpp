#include "callerload.h"
#include "waiting.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace burdockhead;

namespace {

std::uint64_t overloads(Deployment &deployment)
{
    std::uint64_t events = 0;
    for (const std::string &engine : deployment.names("engine-"))
        events += deployment.page(engine, "/stats").value("overload_events", std::uint64_t(0));
    return events;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ColdStartProcesses)

BOOST_AUTO_TEST_CASE(engines_that_turn_cold_at_any_moment_never_carry_more_than_they_can)
{
    constexpr unsigned seed = 7;
    constexpr int turns = 12;
    DeploymentPlan plan;
    plan.m_coldLimit = 2;
    plan.m_warmLimit = 8;
    Deployment deployment(plan);
    BOOST_REQUIRE(deployment.start());
    CallerLoad load(deployment, deployment.names("entry-"), 18, 60);
    BOOST_TEST(waitUntil([&] { return load.whole() >= 60; }));
    std::mt19937 random(seed);
    const std::vector<std::string> engines = deployment.names("engine-");
    for (int turn = 0; turn < turns; ++turn) {
        deployment.post(engines[random() % engines.size()], "/faults", {{"cold", true}});
        std::this_thread::sleep_for(Milliseconds(100 + random() % 400));
        BOOST_TEST(overloads(deployment) == 0U);
    }
    const std::uint64_t afterFaults = load.whole();
    BOOST_TEST(waitUntil([&] { return load.whole() >= afterFaults + 60; }));
    const LoadTally tally = load.stop();
    BOOST_TEST(overloads(deployment) == 0U);
    BOOST_TEST(tally.m_wrong == 0U);
    BOOST_TEST(tally.m_broken == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
