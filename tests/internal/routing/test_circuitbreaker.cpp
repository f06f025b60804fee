#include "property.h"
#include "routingfixture.h"
#include <burdockhead/routing/circuitbreaker.h>

#include <algorithm>
#include <ostream>
#include <string>
#include <vector>

using namespace burdockhead;

namespace {

constexpr BreakerOptions options;

// One step of a property: an attempt is sent if allowed, the oldest attempt ends in one of three
// ways, or time passes.
struct Step
{
    unsigned m_action = 0;
    unsigned m_milliseconds = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << step.m_action << '/' << step.m_milliseconds;
}

rc::Gen<std::vector<Step>> steps()
{
    return rc::gen::container<std::vector<Step>>(
        rc::gen::build<Step>(rc::gen::set(&Step::m_action, rc::gen::inRange(0U, 7U)),
                             rc::gen::set(&Step::m_milliseconds, rc::gen::inRange(0U, 700U))));
}

// Minimal reference model of the guarantees to callers.
class Oracle
{
public:
    // Send times of attempts in flight; those older than the probe timeout don't block a probe.
    std::vector<TimePoint> m_inFlight;
    unsigned m_consecutiveFailures = 0;
    unsigned m_successfulProbes = 0;
    BreakerState m_before = BreakerState::Closed;

    bool mayProbe(TimePoint now) const
    {
        return std::all_of(m_inFlight.begin(), m_inFlight.end(),
                           [now](TimePoint sent) { return now - sent >= options.m_probeTimeout; });
    }

    void end(bool success, bool failure, BreakerState state)
    {
        m_inFlight.erase(m_inFlight.begin());
        if (failure)
            ++m_consecutiveFailures;
        if (success)
            m_consecutiveFailures = 0;
        if (success && state == BreakerState::HalfOpen)
            ++m_successfulProbes;
        if (failure)
            m_successfulProbes = 0;
    }
};

// Runs the steps and returns the first violation, or an empty string. Without `isGuarded`, attempts
// are sent whatever the breaker says, as by a caller without one.
std::string run(const std::vector<Step> &steps, bool isGuarded)
{
    CircuitBreaker breaker;
    Oracle oracle;
    Random random(1);
    TimePoint now = startTime;
    for (const Step &step : steps) {
        now += Milliseconds(step.m_milliseconds);
        const BreakerState state = breaker.state(now);
        if (step.m_action < 3) {
            if (isGuarded && !breaker.allows(now))
                continue;
            if (state == BreakerState::Open)
                return "sent while open";
            if (state == BreakerState::HalfOpen && !oracle.mayProbe(now))
                return "two probes at a time";
            breaker.onDispatched(options, now);
            oracle.m_inFlight.push_back(now);
            continue;
        }
        if (oracle.m_inFlight.empty())
            continue;
        const bool success = step.m_action == 3;
        const bool failure = step.m_action == 4 || step.m_action == 5;
        if (success)
            breaker.recordSuccess(options, now);
        else if (failure)
            breaker.recordFailure(options, now, random);
        else
            breaker.recordNeutral();
        oracle.end(success, failure, state);
        const BreakerState after = breaker.state(now);
        if (oracle.m_consecutiveFailures >= options.m_failureThreshold
            && after == BreakerState::Closed)
            return "closed after consecutive failures";
        if (state != BreakerState::Closed && after == BreakerState::Closed
            && oracle.m_successfulProbes < options.m_probesToClose)
            return "closed without probes";
        if (state == BreakerState::HalfOpen && failure && after != BreakerState::Open)
            return "a failed probe did not open it";
        if (after != BreakerState::HalfOpen)
            oracle.m_successfulProbes = 0;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(CircuitBreakers)

BOOST_AUTO_TEST_CASE(a_breaker_keeps_its_guarantees)
{
    checkProperty("no sequence of steps violates a guarantee",
                  [] { RC_ASSERT(run(*steps(), true).empty()); });
}

BOOST_AUTO_TEST_CASE(a_caller_without_a_breaker_is_detected)
{
    BOOST_TEST(!rc::check("expected to be falsifiable: ignores the breaker",
                          [] { RC_ASSERT(run(*steps(), false).empty()); }));
}

BOOST_AUTO_TEST_CASE(it_opens_after_consecutive_failures_and_closes_after_probes)
{
    CircuitBreaker breaker;
    Random random(1);
    TimePoint now = startTime;
    for (unsigned failure = 0; failure < options.m_failureThreshold; ++failure) {
        BOOST_TEST(breaker.allows(now));
        breaker.onDispatched(options, now);
        breaker.recordFailure(options, now, random);
    }
    BOOST_TEST(!breaker.allows(now));
    now += Seconds(1);
    for (unsigned probe = 0; probe < options.m_probesToClose; ++probe) {
        BOOST_TEST(breaker.allows(now));
        breaker.onDispatched(options, now);
        BOOST_TEST(!breaker.allows(now));
        breaker.recordSuccess(options, now);
    }
    BOOST_TEST((breaker.state(now) == BreakerState::Closed));
}

BOOST_AUTO_TEST_CASE(it_opens_at_the_error_rate_threshold)
{
    CircuitBreaker breaker;
    Random random(1);
    for (unsigned attempt = 0; attempt < 100 && breaker.allows(startTime); ++attempt) {
        breaker.onDispatched(options, startTime);
        if (attempt % 3 == 0)
            breaker.recordSuccess(options, startTime);
        else
            breaker.recordFailure(options, startTime, random);
    }
    BOOST_TEST(!breaker.allows(startTime));
}

BOOST_AUTO_TEST_CASE(the_error_rate_decays_without_attempts_and_is_reset_by_a_restart)
{
    const BreakerOptions options;
    const TimePoint failedAt{Seconds(100)};
    Random random(1);
    CircuitBreaker breaker;
    breaker.onDispatched(options, failedAt);
    breaker.recordFailure(options, failedAt, random);
    BOOST_TEST(breaker.errorRate(failedAt) > 0.05);
    BOOST_TEST(breaker.errorRate(failedAt + Seconds(10)) < 0.001);
    breaker.onRestart(options, failedAt);
    BOOST_TEST(breaker.errorRate(failedAt) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
