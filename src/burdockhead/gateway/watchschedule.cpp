#include <burdockhead/gateway/watchschedule.h>

#include <algorithm>
#include <cstddef>

namespace burdockhead {

namespace {

// Limits of the watch timeout: the shortest, and the longest with a few gateways, which leaves the
// time to list the collection within the three seconds after which a gateway is in touch again; the
// store allows at most 30 s. Each gateway beyond some adds so much that several watches still end
// in each second.
constexpr Milliseconds minWatch{1000};
constexpr Milliseconds maxWatchAlone{2000};
constexpr Milliseconds maxWatchPerGateway{400};
constexpr int gatewaysWithoutIncrease = 5;
constexpr Milliseconds maxWatch{30000};
// How long another gateway may know a newer revision before this one restarts its watch: a working
// watch returns the change within milliseconds, or after the delay that follows the last change.
constexpr Milliseconds maxBehindTime{200};
constexpr Milliseconds restartInterval{1000};

// Initial and longest delay after changes; the longest leaves as much again of the two seconds
// within which a configuration has to be in force and a leaving endpoint may get requests.
constexpr Milliseconds initialDelay{300};
constexpr Milliseconds maxDelay{900};
// Without a change for this time, the delay starts over.
constexpr Milliseconds burstGap{2000};

} // namespace

Milliseconds WatchSchedule::nextWatchTimeout(std::size_t gatewayCount)
{
    const Milliseconds maxTimeout =
        std::clamp(maxWatchPerGateway * (static_cast<int>(gatewayCount) - gatewaysWithoutIncrease),
                   maxWatchAlone, maxWatch);
    return minWatch
           + Milliseconds(static_cast<std::int64_t>(
               m_random() % static_cast<std::uint64_t>((maxTimeout - minWatch).count())));
}

Milliseconds WatchSchedule::delayAfterChanges(bool hasNewChanges, TimePoint now)
{
    const bool isFirst = m_delay.count() == 0 || now > m_lastChangeAt + burstGap;
    m_delay = isFirst ? initialDelay : std::min(2 * m_delay, maxDelay);
    if (!hasNewChanges)
        m_delay = maxDelay;
    m_lastChangeAt = now;
    return m_delay;
}

void WatchSchedule::recordRevision(std::uint64_t revision)
{
    m_newestRevision = std::max(m_newestRevision, revision);
    m_nextRestartAt = TimePoint::max();
}

void WatchSchedule::recordView(std::uint64_t revision)
{
    m_viewRevision = std::max(m_viewRevision, revision);
    m_nextRestartAt = TimePoint::max();
}

bool WatchSchedule::shouldRestartWatch(std::uint64_t knownElsewhere, TimePoint now)
{
    if (knownElsewhere <= std::max(m_newestRevision, m_viewRevision)) {
        m_nextRestartAt = TimePoint::max();
        return false;
    }
    m_nextRestartAt = std::min(m_nextRestartAt, now + maxBehindTime);
    if (now < m_nextRestartAt)
        return false;
    m_nextRestartAt = now + restartInterval;
    return true;
}

} // namespace burdockhead
