#include "property.h"
#include <burdockhead/base/random.h>
#include <burdockhead/gateway/serviceretrybudget.h>

#include <algorithm>
#include <vector>

using namespace burdockhead;

namespace {

constexpr std::size_t gatewayCount = 9;
const ServiceRetryBudgetOptions options = {0.2, 94, Milliseconds(10000)};

struct Attempt
{
    TimePoint m_at;
    bool m_isRequest = false;
};

double countAttempts(const std::vector<Attempt> &attempts, TimePoint windowEnd, bool isRequest)
{
    double matches = 0;
    for (const Attempt &attempt : attempts) {
        if (attempt.m_isRequest == isRequest && attempt.m_at <= windowEnd
            && attempt.m_at + options.m_window > windowEnd)
            ++matches;
    }
    return matches;
}

// Returns whether the retries in any window stay within the budget of all gateways together.
// Requests count in that window, the one before it or the one half a window before it, whichever
// has most, as the platform counts them.
bool staysWithinBudget(const std::vector<Attempt> &attempts)
{
    for (const Attempt &latest : attempts) {
        const double requests =
            std::max({countAttempts(attempts, latest.m_at, true),
                      countAttempts(attempts, latest.m_at - options.m_window / 2, true),
                      countAttempts(attempts, latest.m_at - options.m_window, true)});
        if (countAttempts(attempts, latest.m_at, false)
            > options.m_ratio * requests + options.m_burst + 1e-9)
            return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retries)

// Endpoints fail while clients retry: every request wants a retry.
BOOST_AUTO_TEST_CASE(gateways_stay_within_the_budget_while_everything_fails)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        std::vector<ServiceRetryBudget> gateways(gatewayCount, ServiceRetryBudget(options));
        std::vector<Attempt> attempts;
        TimePoint now{};
        for (int event = 0; event < 1500; ++event) {
            now += Milliseconds(random() % 40);
            ServiceRetryBudget &gateway = gateways[random() % gatewayCount];
            if (random() % 3 == 0) {
                gateway.recordRequest(now);
                attempts.push_back({now, true});
            } else if (gateway.tryBegin(1.0 / gatewayCount, now)) {
                attempts.push_back({now, false});
                gateway.end(now);
            }
        }
        BOOST_TEST(staysWithinBudget(attempts), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_single_gateway_uses_the_whole_burst_and_no_more)
{
    ServiceRetryBudget budget(options);
    unsigned retries = 0;
    for (; budget.tryBegin(1, TimePoint{}); ++retries)
        budget.end(TimePoint{});
    BOOST_TEST(retries == 94U);
    BOOST_TEST(!budget.tryBegin(1, TimePoint{} + Milliseconds(9999)));
    BOOST_TEST(budget.tryBegin(1, TimePoint{} + Milliseconds(10200)));
}

// It may wait in a queue, and arrive at any moment.
BOOST_AUTO_TEST_CASE(a_retry_that_is_not_answered_counts_until_it_ends)
{
    ServiceRetryBudget budget(options);
    for (int count = 0; count < 94; ++count)
        BOOST_REQUIRE(budget.tryBegin(1, TimePoint{}));
    BOOST_TEST(!budget.tryBegin(1, TimePoint{} + Seconds(60)));
    budget.end(TimePoint{} + Seconds(60));
    BOOST_TEST(!budget.tryBegin(1, TimePoint{} + Milliseconds(69999)));
    BOOST_TEST(budget.tryBegin(1, TimePoint{} + Milliseconds(70200)));
}

BOOST_AUTO_TEST_CASE(a_retry_that_was_never_sent_uses_nothing)
{
    ServiceRetryBudget budget(options);
    for (int count = 0; count < 1000; ++count) {
        BOOST_REQUIRE(budget.tryBegin(1, TimePoint{}));
        budget.cancel();
    }
}

BOOST_AUTO_TEST_SUITE_END()
