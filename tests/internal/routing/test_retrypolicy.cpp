#include "property.h"
#include "routingfixture.h"
#include <burdockhead/routing/backoffschedule.h>
#include <burdockhead/routing/retrypolicy.h>

using namespace burdockhead;

namespace {

// Runs requests (0), retries (1, 2) and hedges (3) in the given order; returns whether retries and
// hedges stayed within the tokens added by requests and the initial burst.
bool staysWithinBudget(const std::vector<unsigned> &events, const RetryOptions &options)
{
    RetryPolicy policy(options);
    Random random(1);
    const RequestAttributes request = modelRequest();
    double requests = 0;
    double extra = 0;
    for (const unsigned event : events) {
        bool granted = false;
        if (event == 0) {
            policy.recordRequest(request);
            ++requests;
        } else if (event == 3) {
            granted = policy.tryAcquireHedge(request, startTime);
        } else {
            const RunState state = event == 1 ? RunState::NotRun : RunState::Unknown;
            const auto decision =
                policy.decideRetry(request, ErrorKind::EndpointFailed, state, 1, startTime, random);
            granted = decision.m_retryAt.has_value();
        }
        extra += granted ? 1 : 0;
        if (extra > options.m_budgetBurst + options.m_budgetRatio * requests + 1e-6)
            return false;
    }
    return true;
}

rc::Gen<std::vector<unsigned>> events()
{
    return rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 4U));
}

RetryOptions smallBurstOptions()
{
    RetryOptions options;
    options.m_budgetBurst = 2;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retries)

BOOST_AUTO_TEST_CASE(further_attempts_stay_within_the_budget)
{
    checkProperty("any order of events",
                  [] { RC_ASSERT(staysWithinBudget(*events(), smallBurstOptions())); });
}

BOOST_AUTO_TEST_CASE(unlimited_retries_are_detected)
{
    RetryOptions options = smallBurstOptions();
    options.m_isUnlimited = true;
    BOOST_TEST(!staysWithinBudget({0, 1, 1, 1, 1}, options));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_retried_only_if_repeatable)
{
    checkProperty("any error, run state and number of attempts", [] {
        RetryOptions options;
        options.m_isUnlimited = *rc::gen::arbitrary<bool>();
        RetryPolicy policy(options);
        Random random(1);
        const RequestAttributes request = paymentRequest();
        policy.recordRequest(request);
        const auto error =
            static_cast<ErrorKind>(*rc::gen::inRange<std::size_t>(0, errorKindCount));
        const auto state = *rc::gen::element(RunState::NotRun, RunState::Ran, RunState::Unknown);
        const auto decision =
            policy.decideRetry(request, error, state, *rc::gen::inRange(1U, 6U), startTime, random);
        if (state != RunState::NotRun)
            RC_ASSERT(!decision.m_retryAt);
        RC_ASSERT(!policy.tryAcquireHedge(request, startTime));
        RC_ASSERT(!policy.hedgeTime(request, startTime));
    });
}

BOOST_AUTO_TEST_CASE(the_same_failure_is_retried_when_the_request_is_repeatable)
{
    RetryPolicy policy(RetryOptions{});
    Random random(1);
    const RequestAttributes request = modelRequest();
    policy.recordRequest(request);
    const auto decision = policy.decideRetry(request, ErrorKind::EndpointFailed, RunState::Unknown,
                                             1, startTime, random);
    BOOST_REQUIRE(decision.m_retryAt.has_value());
    BOOST_TEST((*decision.m_retryAt > startTime));
}

BOOST_AUTO_TEST_CASE(a_request_that_has_not_run_is_retried_immediately)
{
    RetryPolicy policy(RetryOptions{});
    Random random(1);
    const RequestAttributes request = paymentRequest();
    policy.recordRequest(request);
    const auto decision =
        policy.decideRetry(request, ErrorKind::Overloaded, RunState::NotRun, 1, startTime, random);
    BOOST_TEST((decision.m_retryAt == startTime));
}

BOOST_AUTO_TEST_CASE(no_retry_is_scheduled_after_the_deadline)
{
    checkProperty("any deadline", [] {
        RetryPolicy policy(RetryOptions{});
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        RequestAttributes request = modelRequest();
        request.m_deadline = startTime + Milliseconds(*rc::gen::inRange(-5, 50));
        policy.recordRequest(request);
        const auto decision =
            policy.decideRetry(request, ErrorKind::EndpointFailed, RunState::Unknown,
                               *rc::gen::inRange(1U, 4U), startTime, random);
        if (decision.m_retryAt)
            RC_ASSERT(*decision.m_retryAt < request.m_deadline);
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
    BOOST_TEST(!policy.hedgeTime(kind, startTime).has_value());
    for (unsigned sample = 0; sample < 5000; ++sample)
        policy.recordCompletion(kind, Milliseconds(time(random)));
    const auto hedgeTime = policy.hedgeTime(kind, startTime);
    BOOST_REQUIRE(hedgeTime.has_value());
    BOOST_TEST((*hedgeTime > startTime + Milliseconds(880)));
    BOOST_TEST((*hedgeTime < startTime + Milliseconds(1100)));
}

BOOST_AUTO_TEST_SUITE_END()
