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

// One step of a property: an attempt is asked for and sent if allowed, the oldest attempt
// ends in one of three ways, or time passes.
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

// What callers may rely on, kept in the simplest way.
class Oracle
{
public:
    // Attempts in flight; those sent more than the probe timeout ago may be forgotten.
    std::vector<TimePoint> m_inFlight;
    unsigned m_failuresInARow = 0;
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
            ++m_failuresInARow;
        if (success)
            m_failuresInARow = 0;
        if (success && state == BreakerState::HalfOpen)
            ++m_successfulProbes;
        if (failure)
            m_successfulProbes = 0;
    }
};

// Runs the steps and returns what was broken, or an empty text. `guarded` false sends
// whatever the breaker says, as a caller without one does.
std::string run(const std::vector<Step> &steps, bool guarded)
{
    CircuitBreaker breaker;
    Oracle oracle;
    Random random(1);
    TimePoint now = startTime;
    for (const Step &step : steps) {
        now += Milliseconds(step.m_milliseconds);
        const BreakerState state = breaker.state(now);
        if (step.m_action < 3) {
            if (guarded && !breaker.allows(now))
                continue;
            if (state == BreakerState::Open)
                return "sent while open";
            if (state == BreakerState::HalfOpen && !oracle.mayProbe(now))
                return "two probes at a time";
            breaker.noteDispatch(options, now);
            oracle.m_inFlight.push_back(now);
            continue;
        }
        if (oracle.m_inFlight.empty())
            continue;
        const bool success = step.m_action == 3;
        const bool failure = step.m_action == 4 || step.m_action == 5;
        if (success)
            breaker.noteSuccess(options, now);
        else if (failure)
            breaker.noteFailure(options, now, random);
        else
            breaker.noteNeutral();
        oracle.end(success, failure, state);
        const BreakerState after = breaker.state(now);
        if (oracle.m_failuresInARow >= options.m_consecutiveFailures
            && after == BreakerState::Closed)
            return "closed after failures in a row";
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

BOOST_AUTO_TEST_CASE(a_breaker_keeps_what_its_callers_rely_on)
{
    checkProperty("no step breaks the oracle's rules",
                  [] { RC_ASSERT(run(*steps(), true).empty()); });
}

BOOST_AUTO_TEST_CASE(a_caller_without_a_breaker_is_caught)
{
    BOOST_TEST(!rc::check("expected to be falsifiable: sends whatever the breaker says",
                          [] { RC_ASSERT(run(*steps(), false).empty()); }));
}

BOOST_AUTO_TEST_CASE(it_opens_after_failures_in_a_row_and_probes_back)
{
    CircuitBreaker breaker;
    Random random(1);
    TimePoint now = startTime;
    for (unsigned failure = 0; failure < options.m_consecutiveFailures; ++failure) {
        BOOST_TEST(breaker.allows(now));
        breaker.noteDispatch(options, now);
        breaker.noteFailure(options, now, random);
    }
    BOOST_TEST(!breaker.allows(now));
    now += Seconds(1);
    for (unsigned probe = 0; probe < options.m_probesToClose; ++probe) {
        BOOST_TEST(breaker.allows(now));
        breaker.noteDispatch(options, now);
        BOOST_TEST(!breaker.allows(now));
        breaker.noteSuccess(options, now);
    }
    BOOST_TEST((breaker.state(now) == BreakerState::Closed));
}

BOOST_AUTO_TEST_CASE(it_opens_on_a_share_of_errors)
{
    CircuitBreaker breaker;
    Random random(1);
    for (unsigned attempt = 0; attempt < 100 && breaker.allows(startTime); ++attempt) {
        breaker.noteDispatch(options, startTime);
        if (attempt % 3 == 0)
            breaker.noteSuccess(options, startTime);
        else
            breaker.noteFailure(options, startTime, random);
    }
    BOOST_TEST(!breaker.allows(startTime));
}

BOOST_AUTO_TEST_CASE(the_share_of_failures_fades_without_attempts_and_ends_with_a_new_run)
{
    const BreakerOptions options;
    const TimePoint failedAt{Seconds(100)};
    Random random(1);
    CircuitBreaker breaker;
    breaker.noteDispatch(options, failedAt);
    breaker.noteFailure(options, failedAt, random);
    BOOST_TEST(breaker.errorShare(failedAt) > 0.05);
    BOOST_TEST(breaker.errorShare(failedAt + Seconds(10)) < 0.001);
    breaker.noteRestart(options, failedAt);
    BOOST_TEST(breaker.errorShare(failedAt) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
