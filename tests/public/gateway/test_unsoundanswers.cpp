#include "gatewayfixture.h"
#include "unsoundendpoint.h"

#include <string>
#include <utility>
#include <vector>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

constexpr Milliseconds soon{1500}; // Half of the clients' time limit.

// Responses that aren't valid in HTTP, with a body that is framed in different ways.
std::vector<std::pair<std::string, std::string>> invalidAnswers()
{
    const std::string body(50, 'x');
    const std::string withLength = "Content-Length: 50\r\n\r\n" + body;
    std::vector<std::pair<std::string, std::string>> answers;
    for (const std::string status : {"000", "001", "099", "101", "600", "999", "20", "2000"}) {
        answers.emplace_back(status, withLength);
        answers.emplace_back(status, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        answers.emplace_back(status, "\r\n" + body);
    }
    for (const std::string status : {"100", "199", "204", "205"})
        answers.emplace_back(status, withLength);
    return answers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnsoundAnswers)

// Clients waited until their time limit for an answer with status 000, and got 600 as an answer.
BOOST_AUTO_TEST_CASE(a_response_with_a_status_that_none_can_have_fails_its_request_at_once)
{
    GatewayFixture fixture;
    UnsoundEndpoint unsound(fixture.m_loop, UnsoundBytes::GivenAnswer);
    fixture.start();
    for (const auto &[status, rest] : invalidAnswers()) {
        // A new entry each time, since endpoints that fail are left alone.
        fixture.m_store.put("servers", "lone-" + status, unsound.entry("lone"));
        unsound.setAnswer("HTTP/1.1 " + status + " X", rest);
        const std::size_t before = unsound.requests();
        const TimePoint sentAt = Clock::now();
        const auto call = fixture.request("POST", "/lone/x");
        BOOST_TEST((Clock::now() - sentAt < soon), status << " " << rest.substr(0, 20));
        const bool hasRun = unsound.requests() > before;
        BOOST_TEST(unsound.requests() <= before + 1, status);
        BOOST_TEST(call->isComplete(), status);
        BOOST_TEST((call->status() == (hasRun ? 502 : 503)), status << ": " << call->status());
    }
    BOOST_TEST(unsound.requests() >= invalidAnswers().size() / 2, unsound.requests());
}

BOOST_AUTO_TEST_CASE(a_request_that_may_be_repeated_is_repeated_after_an_invalid_response)
{
    for (const std::string status : {"000", "101", "204", "600"}) {
        GatewayFixture fixture;
        UnsoundEndpoint unsound(fixture.m_loop, UnsoundBytes::GivenAnswer);
        unsound.setAnswer("HTTP/1.1 " + status + " X",
                          "Content-Length: 50\r\n\r\n" + std::string(50, 'x'));
        fixture.start();
        fixture.m_store.put("servers", "app-9", unsound.entry("app"));
        for (int count = 0; count < 20; ++count) {
            const auto call = fixture.request("GET", "/safe/x");
            BOOST_TEST(call->status() == 200, status << ": " << call->status());
        }
        BOOST_TEST(unsound.requests() > 0U);
    }
}

// The body that follows a whole response was passed on, and read as the next response.
BOOST_AUTO_TEST_CASE(no_body_follows_a_response_that_has_none)
{
    GatewayFixture fixture;
    UnsoundEndpoint unsound(fixture.m_loop, UnsoundBytes::GivenAnswer);
    unsound.setAnswer("HTTP/1.1 304 Not Modified",
                      "Content-Length: 50\r\n\r\n" + std::string(50, 'x'));
    fixture.start();
    fixture.m_store.put("servers", "lone-1", unsound.entry("lone"));
    constexpr std::size_t requests = 3;
    for (std::size_t count = 0; count < requests; ++count) {
        const auto call = fixture.request("POST", "/lone/x");
        BOOST_TEST(call->isComplete());
        BOOST_TEST(call->status() == 304);
        BOOST_TEST(call->body().empty());
    }
    BOOST_TEST(unsound.connections() >= requests);
}

// A client that is told "not run" sends a request that may run once again.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_refusal_is_not_the_answer_to_a_request_that_ran)
{
    for (const bool statesRequest : {true, false}) {
        GatewayFixture fixture;
        UnsoundEndpoint unsound(fixture.m_loop, UnsoundBytes::RepeatedRefusal, statesRequest);
        fixture.start();
        fixture.m_store.put("servers", "app-9", unsound.entry("app"));
        std::size_t ran = 0;
        for (int count = 0; count < 40; ++count) {
            const auto call = fixture.request("POST", "/unsafe/x");
            const bool hasRun = unsound.hasRun(call->requestId());
            ran += hasRun ? 1 : 0;
            BOOST_TEST((!hasRun || call->status() != 503));
        }
        BOOST_TEST(unsound.requests() > 0U);
        BOOST_TEST((ran > 0 || !statesRequest));
    }
}

// Guards against a second run, or a refusal of a request that ran, when the late copy of a refusal
// arrives where the answer to the same request's next attempt at the same endpoint is due.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_refusal_is_not_the_answer_to_the_next_attempt)
{
    GatewayFixture fixture;
    UnsoundEndpoint unsound(fixture.m_loop, UnsoundBytes::RepeatedRefusal);
    fixture.start();
    fixture.m_store.put("servers", "lone-1", unsound.entry("lone"));
    std::size_t ran = 0;
    for (int count = 0; count < 60; ++count) {
        const auto call = fixture.request("POST", "/lone/x");
        const std::size_t runs = unsound.runs(call->requestId());
        ran += runs;
        BOOST_TEST(runs <= 1U);
        BOOST_TEST((runs == 0 || call->status() == 200), "status " << call->status());
    }
    BOOST_TEST(ran > 0U);
}

BOOST_AUTO_TEST_CASE(an_error_after_a_stream_that_broke_off_does_not_reach_its_client)
{
    const std::string events = EndpointStandIn::events(1, EndpointStandIn::lastEvent);
    for (const Misbehaviour next : {Misbehaviour::Fail, Misbehaviour::Refuse, Misbehaviour::Foreign,
                                    Misbehaviour::LoseAnswer, Misbehaviour::SkipEvent}) {
        GatewayFixture fixture;
        fixture.start();
        fixture.m_llm[0]->misbehave(Misbehaviour::BreakStream);
        fixture.m_llm[1]->misbehave(next);
        std::size_t begun = 0;
        for (int count = 0; count < 5; ++count) {
            const auto call = fixture.request("POST", "/stream/x");
            if (call->status() != 200)
                continue;
            ++begun;
            BOOST_TEST(events.starts_with(call->body()), call->body());
            BOOST_TEST((!call->isComplete() || call->body() == events));
        }
        BOOST_TEST(begun > 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
