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

void EndpointBreaker::noteSuccess()
{
    m_failuresInRow = 0;
    m_failureShare *= 1 - weightOfOne;
    m_closedUntil = TimePoint::min();
}

void EndpointBreaker::noteFailure(TimePoint now)
{
    ++m_failuresInRow;
    m_failureShare += (1 - m_failureShare) * weightOfOne;
    if (m_failuresInRow < tolerated)
        return;
    const unsigned doublings = std::min(m_failuresInRow - tolerated, 8U);
    m_closedUntil = now + std::min(firstPause * (1U << doublings), longestPause);
}

void EndpointBreaker::noteSent(TimePoint now)
{
    if (m_failuresInRow >= tolerated)
        m_closedUntil = std::max(m_closedUntil, now + firstPause);
}

} // namespace burdockhead
