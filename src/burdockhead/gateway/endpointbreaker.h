#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Circuit breaker of one endpoint: opens after consecutive failures. Each further failure doubles
// the backoff, after which one probe request is allowed. Protects against an endpoint that fails
// requests while its health checks pass.
class EndpointBreaker
{
public:
    // Returns whether the breaker admits a request.
    bool allows(TimePoint now) const { return now >= m_openUntil; }

    void recordSuccess();
    void recordFailure(TimePoint now);

    // Opens the breaker until then, regardless of its state.
    void openUntil(TimePoint time) { m_openUntil = time; }

    // Registers a request in flight; after a backoff no other is allowed until its result is known.
    void onRequestSent(TimePoint now);

    // Returns the moving average of failed requests, from 0 to 1.
    double failureRate() const { return m_failureRate; }

private:
    unsigned m_consecutiveFailures = 0;
    double m_failureRate = 0;
    TimePoint m_openUntil = TimePoint::min();
};

} // namespace burdockhead
