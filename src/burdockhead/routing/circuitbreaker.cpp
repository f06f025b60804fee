#include <burdockhead/routing/circuitbreaker.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace burdockhead {

namespace {

constexpr double errorShareGain = 0.1;
constexpr std::chrono::duration<double> errorShareHalfLife{1.0};
constexpr std::uint16_t maxDoublings = 10;

void increment(std::uint16_t &count)
{
    if (count < std::numeric_limits<std::uint16_t>::max())
        ++count;
}

// Draws a time between three quarters and five quarters of the given one, so that many
// entries don't probe together.
Duration jittered(Duration duration, Random &random)
{
    std::uniform_real_distribution<double> factor(0.75, 1.25);
    return std::chrono::duration_cast<Duration>(duration * factor(random));
}

} // namespace

bool CircuitBreaker::allows(TimePoint now) const
{
    if (m_closed)
        return true;
    if (now < m_openUntil)
        return false;
    return m_inFlight == 0 || now >= m_probeDeadline;
}

void CircuitBreaker::noteDispatch(const BreakerOptions &options, TimePoint now)
{
    ++m_inFlight;
    if (state(now) == BreakerState::HalfOpen)
        m_probeDeadline = now + options.m_probeTimeout;
}

void CircuitBreaker::noteSuccess(const BreakerOptions &options, TimePoint now)
{
    noteEnd();
    increment(m_samples);
    m_consecutiveFailures = 0;
    m_errorShare -= m_errorShare * errorShareGain;
    if (state(now) != BreakerState::HalfOpen)
        return;
    increment(m_successfulProbes);
    if (m_successfulProbes >= options.m_probesToClose)
        close();
}

void CircuitBreaker::noteFailure(const BreakerOptions &options, TimePoint now, Random &random)
{
    noteEnd();
    increment(m_samples);
    increment(m_consecutiveFailures);
    m_errorShare += (1 - m_errorShare) * errorShareGain;
    m_lastFailure = now;
    const bool probeFailed = state(now) == BreakerState::HalfOpen;
    if (probeFailed || (m_closed && isTripped(options)))
        open(options, now, random);
}

void CircuitBreaker::noteNeutral()
{
    noteEnd();
}

void CircuitBreaker::noteRestart(const BreakerOptions &options, TimePoint now)
{
    m_inFlight = 0;
    m_consecutiveFailures = 0;
    m_samples = 0;
    m_errorShare = 0;
    m_openUntil = std::min(m_openUntil, now);
    m_probeDeadline = now + options.m_probeTimeout;
}

double CircuitBreaker::errorShare(TimePoint now) const
{
    const std::chrono::duration<double> age = now - m_lastFailure;
    return m_errorShare * std::exp2(-age / errorShareHalfLife);
}

BreakerState CircuitBreaker::state(TimePoint now) const
{
    if (m_closed)
        return BreakerState::Closed;
    return now < m_openUntil ? BreakerState::Open : BreakerState::HalfOpen;
}

bool CircuitBreaker::isTripped(const BreakerOptions &options) const
{
    if (m_consecutiveFailures >= options.m_consecutiveFailures)
        return true;
    return m_samples >= options.m_minimumSamples && m_errorShare >= options.m_errorShare;
}

void CircuitBreaker::open(const BreakerOptions &options, TimePoint now, Random &random)
{
    const auto doublings = std::min(m_openings, maxDoublings);
    const Duration length =
        std::min<Duration>(options.m_openBase * (1U << doublings), options.m_openCap);
    m_closed = false;
    m_successfulProbes = 0;
    m_openUntil = now + jittered(length, random);
    m_probeDeadline = m_openUntil + options.m_probeTimeout;
    increment(m_openings);
}

void CircuitBreaker::close()
{
    const std::uint32_t inFlight = m_inFlight;
    *this = CircuitBreaker();
    m_inFlight = inFlight;
}

void CircuitBreaker::noteEnd()
{
    if (m_inFlight > 0)
        --m_inFlight;
}

} // namespace burdockhead
