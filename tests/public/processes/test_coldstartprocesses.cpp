#include "callerload.h"
#include "waiting.h"

#include <boost/test/unit_test.hpp>

#include <future>
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

// The engine has read them, but not begun them, when it turns cold and cuts its connections.
BOOST_AUTO_TEST_CASE(requests_whose_connection_broke_unanswered_count_against_a_cold_engine)
{
    DeploymentPlan plan;
    plan.m_dataCentres = {"dc-a"};
    plan.m_coldLimit = 2;
    Deployment deployment(plan);
    BOOST_REQUIRE(deployment.start());
    std::vector<std::future<std::optional<HttpResponse>>> chats;
    const auto startChats = [&](int count) {
        for (int index = 0; index < count; ++index)
            chats.push_back(std::async(std::launch::async, [&] {
                return deployment.chat("entry-dc-a-0", "digest of branch 3", 20);
            }));
    };
    const std::string engine = "engine-dc-a-0";
    deployment.post(engine, "/faults", {{"stall_ms", 5000}});
    startChats(2);
    BOOST_REQUIRE(waitUntil([&] { return deployment.page(engine, "/stats")["running"] == 2; }));
    deployment.post(engine, "/faults",
                    {{"stall_ms", 400}, {"keeps_unbegun", true}, {"cold", true}});
    startChats(4);
    for (auto &chat : chats)
        chat.wait();
    BOOST_TEST(overloads(deployment) == 0U);
    const auto last = deployment.chat("entry-dc-a-0", "digest of branch 3", 20);
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST(!streamedTokens(last->m_body).empty());
}

BOOST_AUTO_TEST_SUITE_END()
