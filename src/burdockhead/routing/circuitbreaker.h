#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/routing/breakeroptions.h>
#include <burdockhead/routing/breakerstate.h>

#include <cstdint>

namespace burdockhead {

// Circuit breaker that stops attempts at a failing target and closes again after successful probes.
// A probe is sent only while nothing else is in flight, so that no other attempt's outcome is
// attributed to it; attempts without an outcome are ignored after the probe timeout.
class CircuitBreaker
{
public:
    // Returns whether an attempt may be sent now.
    bool allows(TimePoint now) const;

    // Records that an attempt was sent.
    void onDispatched(const BreakerOptions &options, TimePoint now);

    // Records a successful attempt.
    void recordSuccess(const BreakerOptions &options, TimePoint now);

    // Records a failed attempt.
    void recordFailure(const BreakerOptions &options, TimePoint now, Random &random);

    // Records the end of an attempt that says nothing about the target's health.
    void recordNeutral();

    // Handles a restart of the target: attempts in flight are lost, and an open breaker probes at
    // once.
    void onRestart(const BreakerOptions &options, TimePoint now);

    // Returns the state at the given time.
    BreakerState state(TimePoint now) const;

    // Returns the smoothed error rate, 0 to 1. It decays with the time since the last failure,
    // because a replica that is not chosen has no attempts that could lower it.
    double errorRate(TimePoint now) const;

private:
    bool isTripped(const BreakerOptions &options) const;
    void open(const BreakerOptions &options, TimePoint now, Random &random);
    void close();
    void onAttemptEnded();

    bool m_isClosed = true;
    std::uint16_t m_consecutiveFailures = 0;
    std::uint16_t m_samples = 0;
    std::uint16_t m_successfulProbes = 0;
    std::uint16_t m_openCount = 0; // Since the breaker was last closed.
    std::uint32_t m_inFlight = 0;
    double m_errorRate = 0;
    TimePoint m_lastFailure;
    TimePoint m_openUntil;
    TimePoint m_probeDeadline; // From then on attempts in flight no longer block a probe.
};

} // namespace burdockhead
