#include "property.h"
#include <burdockhead/base/random.h>
#include <burdockhead/gateway/serviceretrybudget.h>

#include <algorithm>
#include <vector>

using namespace burdockhead;

namespace {

constexpr std::size_t fleet = 9;
const ServiceRetryBudgetOptions options = {0.2, 94, Milliseconds(10000)};

struct Attempt
{
    TimePoint m_at;
    bool m_isRequest = false;
};

double count(const std::vector<Attempt> &attempts, TimePoint windowEnd, bool isRequest)
{
    double found = 0;
    for (const Attempt &attempt : attempts) {
        if (attempt.m_isRequest == isRequest && attempt.m_at <= windowEnd
            && attempt.m_at + options.m_window > windowEnd)
            ++found;
    }
    return found;
}

// Whether the further attempts in any window stay within the bound for all gateways together.
// Requests count in that window, the one before it or the one half a window before it,
// whichever has most, as the platform counts them.
bool staysWithinBound(const std::vector<Attempt> &attempts)
{
    for (const Attempt &last : attempts) {
        const double requests = std::max({count(attempts, last.m_at, true),
                                          count(attempts, last.m_at - options.m_window / 2, true),
                                          count(attempts, last.m_at - options.m_window, true)});
        if (count(attempts, last.m_at, false) > options.m_ratio * requests + options.m_burst + 1e-9)
            return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Retries)

// The load pattern of endpoints that fail while clients repeat: every request wants more.
BOOST_AUTO_TEST_CASE(a_fleet_stays_within_its_bound_while_everything_fails)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        std::vector<ServiceRetryBudget> gateways(fleet, ServiceRetryBudget(options));
        std::vector<Attempt> attempts;
        TimePoint now{};
        for (int event = 0; event < 1500; ++event) {
            now += Milliseconds(random() % 40);
            ServiceRetryBudget &gateway = gateways[random() % fleet];
            if (random() % 3 == 0) {
                gateway.recordRequest(now);
                attempts.push_back({now, true});
            } else if (gateway.tryAcquire(fleet, now)) {
                attempts.push_back({now, false});
            }
        }
        BOOST_TEST(staysWithinBound(attempts), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(a_gateway_alone_uses_the_whole_burst_and_no_more)
{
    ServiceRetryBudget allowance(options);
    unsigned taken = 0;
    while (allowance.tryAcquire(1, TimePoint{}))
        ++taken;
    BOOST_TEST(taken == 94U);
    BOOST_TEST(allowance.tryAcquire(1, TimePoint{} + Milliseconds(10000)));
}

BOOST_AUTO_TEST_SUITE_END()
