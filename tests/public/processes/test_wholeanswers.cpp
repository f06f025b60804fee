#include "callerload.h"
#include "waiting.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace burdockhead;

namespace {

constexpr unsigned noTokens = 0;

std::uint64_t sum(Deployment &deployment, const std::string &prefix, const char *counter)
{
    std::uint64_t total = noTokens;
    for (const std::string &name : deployment.names(prefix))
        total += deployment.page(name, "/stats").value(counter, std::uint64_t(0));
    return total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WholeAnswers)

BOOST_AUTO_TEST_CASE(an_engine_that_dies_in_the_middle_of_answers_costs_no_caller_its_answer)
{
    DeploymentPlan plan;
    plan.m_warmLimit = 16;
    plan.m_coldLimit = 4;
    Deployment deployment(plan);
    BOOST_REQUIRE(deployment.start());
    CallerLoad load(deployment, {"entry-dc-a-0", "entry-dc-b-0"}, 6, 200);
    waitUntil([&] { return load.whole() >= 6; });
    deployment.child("engine-dc-a-0").kill();
    const std::uint64_t before = load.whole();
    waitUntil([&] { return load.whole() >= before + 20; });
    deployment.restart("engine-dc-a-0");
    const std::uint64_t restarted = load.whole();
    waitUntil([&] { return load.whole() >= restarted + 20; });
    const LoadTally tally = load.stop();
    BOOST_TEST(tally.m_whole >= before + 40);
    BOOST_TEST(tally.m_wrong == 0U);
    BOOST_TEST(tally.m_broken == 0U);
    for (const auto &[kind, count] : tally.m_errors)
        BOOST_TEST(count == 0U, "error " << kind);
}

BOOST_AUTO_TEST_CASE(a_killed_agent_costs_no_caller_of_a_repeatable_request_its_answer)
{
    DeploymentPlan plan;
    plan.m_warmLimit = 16;
    plan.m_coldLimit = 4;
    Deployment deployment(plan);
    BOOST_REQUIRE(deployment.start());
    CallerLoad load(deployment, {"entry-dc-a-0", "entry-dc-c-0"}, 6, 200);
    waitUntil([&] { return load.whole() >= 6; });
    deployment.child("agent-engine-dc-a-0").kill();
    const std::uint64_t before = load.whole();
    waitUntil([&] { return load.whole() >= before + 20; });
    const LoadTally tally = load.stop();
    BOOST_TEST(tally.m_wrong == 0U);
    BOOST_TEST(tally.m_broken == 0U);
    for (const auto &[kind, count] : tally.m_errors)
        BOOST_TEST(count == 0U, "error " << kind);
}

BOOST_AUTO_TEST_CASE(a_caller_of_a_stream_that_leaves_frees_its_slot_at_the_engine)
{
    DeploymentPlan plan;
    plan.m_dataCentres = {"dc-a"};
    plan.m_tokenMicroseconds = 20000;
    Deployment deployment(plan);
    BOOST_REQUIRE(deployment.start());
    HttpClientCall call;
    call.m_method = "POST";
    call.m_url =
        "http://" + deployment.process("entry-dc-a-0").m_main.toString() + "/v1/chat/completions";
    call.m_headers = {{"Burdockhead-Workspace", "library"}, {"Burdockhead-Kind", "digest"}};
    call.m_body = R"({"model":"shelf-8b","messages":[{"role":"user","content":"x"}],"stream":true,)"
                  R"("max_tokens":100000})";
    call.m_deadline = Clock::now() + Seconds(60);
    const std::uint64_t id = deployment.http().start(call, {});
    waitUntil([&] { return sum(deployment, "engine-", "started") == 1; });
    deployment.http().cancel(id);
    waitUntil([&] { return sum(deployment, "engine-", "cancelled") == 1; });
    BOOST_TEST(sum(deployment, "engine-", "cancelled") == 1U);
    waitUntil([&] {
        return deployment.metric("agent-engine-dc-a-0", "burdockhead_endpoint_running_requests")
               == 0;
    });
    BOOST_TEST(deployment.metric("agent-engine-dc-a-0", "burdockhead_endpoint_running_requests")
               == 0);
}

BOOST_AUTO_TEST_SUITE_END()
