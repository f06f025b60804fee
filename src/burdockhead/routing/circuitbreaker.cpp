#include <burdockhead/routing/circuitbreaker.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace burdockhead {

namespace {

constexpr double errorRateSmoothing = 0.1;
constexpr std::chrono::duration<double> errorRateHalfLife{1.0};
constexpr std::uint16_t maxDoublings = 10;

void increment(std::uint16_t &count)
{
    if (count < std::numeric_limits<std::uint16_t>::max())
        ++count;
}

// Returns the duration with a random jitter of up to 25 % either way, so that entries don't probe
// simultaneously.
Duration jittered(Duration duration, Random &random)
{
    std::uniform_real_distribution<double> factor(0.75, 1.25);
    return std::chrono::duration_cast<Duration>(duration * factor(random));
}

} // namespace

bool CircuitBreaker::allows(TimePoint now) const
{
    if (m_isClosed)
        return true;
    if (now < m_openUntil)
        return false;
    return m_inFlight == 0 || now >= m_probeDeadline;
}

void CircuitBreaker::onDispatched(const BreakerOptions &options, TimePoint now)
{
    ++m_inFlight;
    if (state(now) == BreakerState::HalfOpen)
        m_probeDeadline = now + options.m_probeTimeout;
}

void CircuitBreaker::recordSuccess(const BreakerOptions &options, TimePoint now)
{
    onAttemptEnded();
    increment(m_samples);
    m_consecutiveFailures = 0;
    m_errorRate -= m_errorRate * errorRateSmoothing;
    if (state(now) != BreakerState::HalfOpen)
        return;
    increment(m_successfulProbes);
    if (m_successfulProbes >= options.m_probesToClose)
        close();
}

void CircuitBreaker::recordFailure(const BreakerOptions &options, TimePoint now, Random &random)
{
    onAttemptEnded();
    increment(m_samples);
    increment(m_consecutiveFailures);
    m_errorRate += (1 - m_errorRate) * errorRateSmoothing;
    m_lastFailure = now;
    const bool probeFailed = state(now) == BreakerState::HalfOpen;
    if (probeFailed || (m_isClosed && isTripped(options)))
        open(options, now, random);
}

void CircuitBreaker::recordNeutral()
{
    onAttemptEnded();
}

void CircuitBreaker::onRestart(const BreakerOptions &options, TimePoint now)
{
    m_inFlight = 0;
    m_consecutiveFailures = 0;
    m_samples = 0;
    m_errorRate = 0;
    m_openUntil = std::min(m_openUntil, now);
    m_probeDeadline = now + options.m_probeTimeout;
}

double CircuitBreaker::errorRate(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_lastFailure;
    return m_errorRate * std::exp2(-age / errorRateHalfLife);
}

BreakerState CircuitBreaker::state(TimePoint now) const
{
    if (m_isClosed)
        return BreakerState::Closed;
    return now < m_openUntil ? BreakerState::Open : BreakerState::HalfOpen;
}

bool CircuitBreaker::isTripped(const BreakerOptions &options) const
{
    if (m_consecutiveFailures >= options.m_failureThreshold)
        return true;
    return m_samples >= options.m_minimumSamples && m_errorRate >= options.m_errorRateThreshold;
}

void CircuitBreaker::open(const BreakerOptions &options, TimePoint now, Random &random)
{
    const auto doublings = std::min(m_openCount, maxDoublings);
    const Duration openTime =
        std::min<Duration>(options.m_openBackoffBase * (1U << doublings), options.m_openBackoffCap);
    m_isClosed = false;
    m_successfulProbes = 0;
    m_openUntil = now + jittered(openTime, random);
    m_probeDeadline = m_openUntil + options.m_probeTimeout;
    increment(m_openCount);
}

void CircuitBreaker::close()
{
    const std::uint32_t inFlight = m_inFlight;
    *this = CircuitBreaker();
    m_inFlight = inFlight;
}

void CircuitBreaker::onAttemptEnded()
{
    if (m_inFlight > 0)
        --m_inFlight;
}

} // namespace burdockhead
