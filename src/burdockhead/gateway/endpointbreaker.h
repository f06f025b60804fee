#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Keeps an endpoint out of the choice after failures in a row. Each further failure doubles
// the pause; then one request tries it again. Answers the load pattern of an endpoint that
// fails while its health checks pass.
class EndpointBreaker
{
public:
    // Whether the endpoint may get a request.
    bool allows(TimePoint now) const { return now >= m_openUntil; }

    void recordSuccess();
    void recordFailure(TimePoint now);

    // Keeps it out until then, whatever came before.
    void openUntil(TimePoint until) { m_openUntil = until; }

    // A request goes to it; after a pause no other follows before its end is known.
    void onRequestSent(TimePoint now);

    // The part of late requests that failed, from 0 to 1.
    double failureRate() const { return m_failureRate; }

private:
    unsigned m_consecutiveFailures = 0;
    double m_failureRate = 0;
    TimePoint m_openUntil = TimePoint::min();
};

} // namespace burdockhead
