#include <burdockhead/gateway/endpointbreaker.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Failures in a row that open the breaker; single ones are common at endpoints in good health.
constexpr unsigned tolerated = 3;
// The first pause, and the longest: short against the few seconds that a fault lasts.
constexpr Milliseconds firstPause{500};
constexpr Milliseconds longestPause{4000};
// How much one result moves the share of failures: the last ten or so count.
constexpr double weightOfOne = 0.1;

} // namespace

void EndpointBreaker::recordSuccess()
{
    m_consecutiveFailures = 0;
    m_failureRate *= 1 - weightOfOne;
    m_openUntil = TimePoint::min();
}

void EndpointBreaker::recordFailure(TimePoint now)
{
    ++m_consecutiveFailures;
    m_failureRate += (1 - m_failureRate) * weightOfOne;
    if (m_consecutiveFailures < tolerated)
        return;
    const unsigned doublings = std::min(m_consecutiveFailures - tolerated, 8U);
    m_openUntil = now + std::min(firstPause * (1U << doublings), longestPause);
}

void EndpointBreaker::onRequestSent(TimePoint now)
{
    if (m_consecutiveFailures >= tolerated)
        m_openUntil = std::max(m_openUntil, now + firstPause);
}

} // namespace burdockhead
