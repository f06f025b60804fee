#include <burdockhead/gateway/servicelimiter.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Refusals in a row that show that the service, and not one endpoint, takes nothing.
constexpr unsigned refusalsBeforePause = 4;
// How long nothing is sent then; a group of ranks opens again within about this time.
constexpr Milliseconds refusalPause{300};
// When refused clients should come back: after about the time in which a burst is worked off, and,
// from a service that refuses everything, after the time in which a rank that crashed is back.
// Clients come back once, so one that comes too early is lost.
constexpr Milliseconds usualComeBack{500};
constexpr Milliseconds outageComeBack{2500};
// While refusals go on, so many requests try at a time.
constexpr std::size_t trialsAtATime = 1;
// How much one request moves the usual times: the last ten or so count.
constexpr int weightOfOne = 10;
// How much one event moves the mean pause. A gateway sees some ten streams, so the last two
// steps or so of the ranks count.
constexpr double weightOfOneEvent = 0.06;
// The part of the longest pause from which on steps count as slow. More requests would make
// them slower still, and every stream late.
constexpr double slowPause = 0.8;
// What the mean pause counts as when a service opens again: a group that has formed anew uses its
// first map, and all that has waited would come at once.
constexpr double pauseAfterOutage = 1;
// Pauses that are older than this say nothing.
constexpr Milliseconds pauseHolds{500};

void follow(Duration &usual, Duration last)
{
    usual = usual.count() == 0 ? last : usual + (last - usual) / weightOfOne;
}

} // namespace

bool ServiceLimiter::mayStart(TimePoint now) const
{
    if (m_consecutiveRefusals >= refusalsBeforePause)
        return now >= m_pausedUntil && m_running < std::min(m_limit, trialsAtATime);
    const bool isSlow = m_averageEventInterval > slowPause && now < m_lastEventAt + pauseHolds;
    return m_running < (isSlow ? m_slowLimit : m_limit);
}

void ServiceLimiter::recordEventInterval(Duration pause, Duration longest, TimePoint now)
{
    if (longest.count() <= 0)
        return;
    const double part =
        std::chrono::duration<double>(pause) / std::chrono::duration<double>(longest);
    m_averageEventInterval += (part - m_averageEventInterval) * weightOfOneEvent;
    m_lastEventAt = now;
}

void ServiceLimiter::onFirstByte(Duration took, TimePoint now)
{
    if (m_consecutiveRefusals >= refusalsBeforePause) {
        m_averageEventInterval = pauseAfterOutage;
        m_lastEventAt = now;
    }
    m_consecutiveRefusals = 0;
    follow(m_averageFirstByteTime, took);
}

void ServiceLimiter::onEnded(Duration took, bool isServed)
{
    if (m_running > 0)
        --m_running;
    if (!isServed)
        return;
    m_consecutiveRefusals = 0;
    follow(m_averageServiceTime, took);
}

void ServiceLimiter::onRefused(TimePoint now)
{
    ++m_consecutiveRefusals;
    if (m_consecutiveRefusals >= refusalsBeforePause)
        m_pausedUntil = now + refusalPause;
}

Milliseconds ServiceLimiter::retryAfter() const
{
    if (m_consecutiveRefusals >= refusalsBeforePause)
        return outageComeBack;
    const auto wait = std::chrono::duration_cast<Milliseconds>(expectedWait(m_queue.size()));
    return std::clamp(wait, usualComeBack, outageComeBack);
}

Duration ServiceLimiter::expectedWait(std::size_t ahead) const
{
    const std::size_t window = std::max<std::size_t>(m_limit, 1);
    return m_averageServiceTime * static_cast<int>(ahead + 1) / static_cast<int>(window);
}

} // namespace burdockhead
