#include <burdockhead/gateway/endpointbreaker.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Consecutive failures that open the breaker; single ones are common at healthy endpoints.
constexpr unsigned failureThreshold = 3;
// Initial and longest backoff: short compared with the few seconds that a fault lasts.
constexpr Milliseconds initialBackoff{500};
constexpr Milliseconds maxBackoff{4000};
// Weight of one result in the failure rate, which averages about the last ten.
constexpr double smoothingFactor = 0.1;

} // namespace

void EndpointBreaker::recordSuccess()
{
    m_consecutiveFailures = 0;
    m_failureRate *= 1 - smoothingFactor;
    m_openUntil = TimePoint::min();
}

void EndpointBreaker::recordFailure(TimePoint now)
{
    ++m_consecutiveFailures;
    m_failureRate += (1 - m_failureRate) * smoothingFactor;
    if (m_consecutiveFailures < failureThreshold)
        return;
    const unsigned doublings = std::min(m_consecutiveFailures - failureThreshold, 8U);
    m_openUntil = now + std::min(initialBackoff * (1U << doublings), maxBackoff);
}

void EndpointBreaker::onRequestSent(TimePoint now)
{
    if (m_consecutiveFailures >= failureThreshold)
        m_openUntil = std::max(m_openUntil, now + initialBackoff);
}

} // namespace burdockhead
