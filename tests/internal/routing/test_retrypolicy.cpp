#include "property.h"
#include "routingfixture.h"
#include <burdockhead/routing/backoffschedule.h>
#include <burdockhead/routing/retrypolicy.h>

using namespace burdockhead;

namespace {

// Runs requests (0), retries (1, 2) and hedges (3) in any order and says whether further
// attempts stayed within what requests earned and what was saved up.
bool staysWithinBudget(const std::vector<unsigned> &events, const RetryOptions &options)
{
    RetryPolicy policy(options);
    Random random(1);
    const RequestAttributes facts = modelRequest();
    double requests = 0;
    double extra = 0;
    for (const unsigned event : events) {
        bool granted = false;
        if (event == 0) {
            policy.noteRequest(facts);
            ++requests;
        } else if (event == 3) {
            granted = policy.takeHedge(facts, startTime);
        } else {
            const RunState state = event == 1 ? RunState::NotRun : RunState::Unknown;
            const auto decision =
                policy.retryAfter(facts, ErrorKind::EndpointFailed, state, 1, startTime, random);
            granted = decision.m_retryAt.has_value();
        }
        extra += granted ? 1 : 0;
        if (extra > options.m_reserve + options.m_extraShare * requests + 1e-6)
            return false;
    }
    return true;
}

rc::Gen<std::vector<unsigned>> events()
{
    return rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4U));
}

RetryOptions smallReserve()
{
    RetryOptions options;
    options.m_reserve = 2;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retries)

BOOST_AUTO_TEST_CASE(further_attempts_stay_within_the_budget)
{
    checkProperty("any order of events",
                  [] { RC_ASSERT(staysWithinBudget(*events(), smallReserve())); });
}

BOOST_AUTO_TEST_CASE(unlimited_retries_are_caught)
{
    RetryOptions options = smallReserve();
    options.m_unlimited = true;
    BOOST_TEST(!staysWithinBudget({0, 1, 1, 1, 1}, options));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_not_repeated_unless_it_may_be)
{
    checkProperty("any error, run state and number of attempts", [] {
        RetryOptions options;
        options.m_unlimited = *rc::gen::arbitrary<bool>();
        RetryPolicy policy(options);
        Random random(1);
        const RequestAttributes facts = paymentRequest();
        policy.noteRequest(facts);
        const auto error =
            static_cast<ErrorKind>(*rc::gen::inRange<std::size_t>(0, errorKindCount));
        const auto state = *rc::gen::element(RunState::NotRun, RunState::Ran, RunState::Unknown);
        const auto decision =
            policy.retryAfter(facts, error, state, *rc::gen::inRange(1U, 6U), startTime, random);
        if (state != RunState::NotRun)
            RC_ASSERT(!decision.m_retryAt);
        RC_ASSERT(!policy.takeHedge(facts, startTime));
        RC_ASSERT(!policy.hedgeAt(facts, startTime));
    });
}

BOOST_AUTO_TEST_CASE(the_same_failure_is_retried_when_the_request_is_repeatable)
{
    RetryPolicy policy(RetryOptions{});
    Random random(1);
    const RequestAttributes facts = modelRequest();
    policy.noteRequest(facts);
    const auto decision = policy.retryAfter(facts, ErrorKind::EndpointFailed, RunState::Unknown, 1,
                                            startTime, random);
    BOOST_REQUIRE(decision.m_retryAt.has_value());
    BOOST_TEST((*decision.m_retryAt > startTime));
}

BOOST_AUTO_TEST_CASE(a_certain_refusal_is_retried_at_once)
{
    RetryPolicy policy(RetryOptions{});
    Random random(1);
    const RequestAttributes facts = paymentRequest();
    policy.noteRequest(facts);
    const auto decision =
        policy.retryAfter(facts, ErrorKind::Overloaded, RunState::NotRun, 1, startTime, random);
    BOOST_TEST((decision.m_retryAt == startTime));
}

BOOST_AUTO_TEST_CASE(no_retry_is_set_for_after_the_deadline)
{
    checkProperty("any deadline", [] {
        RetryPolicy policy(RetryOptions{});
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        RequestAttributes facts = modelRequest();
        facts.m_deadline = startTime + Milliseconds(*rc::gen::inRange(-5, 50));
        policy.noteRequest(facts);
        const auto decision = policy.retryAfter(facts, ErrorKind::EndpointFailed, RunState::Unknown,
                                                *rc::gen::inRange(1U, 4U), startTime, random);
        if (decision.m_retryAt)
            RC_ASSERT(*decision.m_retryAt < facts.m_deadline);
    });
}

BOOST_AUTO_TEST_CASE(backoff_stays_under_its_cap_and_after_now)
{
    checkProperty("any number of attempts", [] {
        const BackoffSchedule backoff(Milliseconds(20), Milliseconds(1000));
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        const TimePoint next = backoff.next(*rc::gen::inRange(0U, 100U), startTime, random);
        RC_ASSERT(next > startTime);
        RC_ASSERT(next <= startTime + Milliseconds(1000));
    });
}

BOOST_AUTO_TEST_CASE(a_hedge_waits_until_about_the_95th_percentile)
{
    HedgePolicy policy;
    Random random(1);
    std::uniform_int_distribution<int> time(0, 1000);
    const KindName kind("digest");
    BOOST_TEST(!policy.slowAt(kind, startTime).has_value());
    for (unsigned sample = 0; sample < 5000; ++sample)
        policy.noteCompletion(kind, Milliseconds(time(random)));
    const auto slowAt = policy.slowAt(kind, startTime);
    BOOST_REQUIRE(slowAt.has_value());
    BOOST_TEST((*slowAt > startTime + Milliseconds(880)));
    BOOST_TEST((*slowAt < startTime + Milliseconds(1100)));
}

BOOST_AUTO_TEST_SUITE_END()
