#include "deployment.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace burdockhead;

BOOST_AUTO_TEST_SUITE(LongAnswer)

// Longer than the timeouts that HTTP servers have by default, a request's of 10 s for example.
BOOST_AUTO_TEST_CASE(an_answer_longer_than_every_default_limit_of_the_libraries_arrives_whole)
{
    constexpr unsigned tokens = 640;
    DeploymentPlan plan;
    plan.m_dataCentres = {"dc-a"};
    plan.m_tokenMicroseconds = 100000;
    plan.m_coldLimit = 4;
    plan.m_kindDeadlineMilliseconds = 110000;
    Deployment deployment(plan);
    BOOST_REQUIRE(deployment.start());
    const auto start = [&](bool stream) {
        HttpClientCall call;
        call.m_method = "POST";
        call.m_url = "http://" + deployment.process("entry-dc-a-0").m_main.toString()
                     + "/v1/chat/completions";
        call.m_headers = {{"Burdockhead-Workspace", "library"}, {"Burdockhead-Kind", "digest"}};
        call.m_body = nlohmann::json{
            {"model", "shelf-8b"},
            {"messages", nlohmann::json::array({"long"})},
            {"stream", stream},
            {"max_tokens",
             tokens}}.dump();
        call.m_deadline = Clock::now() + Seconds(110);
        return std::async(std::launch::async, [&deployment, call] {
            Failure failure;
            return deployment.http().callAndWait(call, failure);
        });
    };
    auto streamed = start(true);
    auto whole = start(false);
    const auto streamedAnswer = streamed.get();
    BOOST_REQUIRE(streamedAnswer.has_value());
    BOOST_TEST(streamedTokens(streamedAnswer->m_body).size() == tokens);
    const auto wholeAnswer = whole.get();
    BOOST_REQUIRE(wholeAnswer.has_value());
    BOOST_TEST(wholeAnswer->m_status == 200, wholeAnswer->m_body);
}

BOOST_AUTO_TEST_SUITE_END()
