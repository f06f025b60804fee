#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/routing/breakeroptions.h>
#include <burdockhead/routing/breakerstate.h>

#include <cstdint>

namespace burdockhead {

// Stops sending to something that fails, and probes its way back. A probe is sent only when
// nothing else is in flight, so that its outcome can't be taken for another's; attempts
// that don't end are given up after the probe timeout.
class CircuitBreaker
{
public:
    // Whether an attempt may be sent now.
    bool allows(TimePoint now) const;

    // Notes that an attempt was sent.
    void noteDispatch(const BreakerOptions &options, TimePoint now);

    // Notes that an attempt succeeded.
    void noteSuccess(const BreakerOptions &options, TimePoint now);

    // Notes that an attempt failed.
    void noteFailure(const BreakerOptions &options, TimePoint now, Random &random);

    // Notes that an attempt ended without telling anything of the other side's health.
    void noteNeutral();

    // Notes that the other side was started anew: what was in flight is gone, and an open
    // breaker probes at once.
    void noteRestart(const BreakerOptions &options, TimePoint now);

    // The state as of now.
    BreakerState state(TimePoint now) const;

    // Recent share of failures, 0 to 1. It fades with the time since the last failure, as a replica
    // that is passed over has no attempts by which it could show that it is well.
    double errorShare(TimePoint now) const;

private:
    bool isTripped(const BreakerOptions &options) const;
    void open(const BreakerOptions &options, TimePoint now, Random &random);
    void close();
    void noteEnd();

    bool m_closed = true;
    std::uint16_t m_consecutiveFailures = 0;
    std::uint16_t m_samples = 0;
    std::uint16_t m_successfulProbes = 0;
    std::uint16_t m_openings = 0; // Since it was last closed.
    std::uint32_t m_inFlight = 0;
    double m_errorShare = 0;
    TimePoint m_lastFailure;
    TimePoint m_openUntil;
    TimePoint m_probeDeadline; // What is in flight then no longer holds a probe back.
};

} // namespace burdockhead
