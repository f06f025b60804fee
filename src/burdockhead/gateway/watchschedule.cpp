#include <burdockhead/gateway/watchschedule.h>

#include <algorithm>
#include <cstddef>

namespace burdockhead {

namespace {

// The shortest watch, and the longest in a fleet of one; the store takes 30 s at the most. Each
// gateway adds so much that some watch of the fleet ends about every two seconds.
constexpr Milliseconds shortestWatch{1000};
constexpr Milliseconds longestAlone{4000};
constexpr Milliseconds longestForGateway{1300};
constexpr Milliseconds longestWatch{30000};
// How long another gateway may know a newer change before this one asks anew: a watch brings it
// within milliseconds, or after the pause that follows the last change.
constexpr Milliseconds behindTime{500};

// Pauses after changes: the first, and the longest, which leaves as much again of the two seconds
// within which a configuration has to be in force and a leaving endpoint may get requests.
constexpr Milliseconds firstPause{300};
constexpr Milliseconds longestPause{900};
// Without a change for this long the next one is the first again.
constexpr Milliseconds burstEndsAfter{2000};

} // namespace

Milliseconds WatchSchedule::nextWatchTimeout(std::size_t fleet)
{
    const Milliseconds longest =
        std::clamp(longestForGateway * static_cast<int>(fleet), longestAlone, longestWatch);
    return shortestWatch
           + Milliseconds(static_cast<std::int64_t>(
               m_random() % static_cast<std::uint64_t>((longest - shortestWatch).count())));
}

Milliseconds WatchSchedule::delayAfterChanges(bool hasNews, TimePoint now)
{
    const bool isFirst = m_delay.count() == 0 || now > m_lastChangeAt + burstEndsAfter;
    m_delay = isFirst ? firstPause : std::min(2 * m_delay, longestPause);
    if (!hasNews)
        m_delay = longestPause;
    m_lastChangeAt = now;
    return m_delay;
}

void WatchSchedule::recordRevision(std::uint64_t revision)
{
    m_newestRevision = std::max(m_newestRevision, revision);
    m_behindSince = TimePoint::max();
}

bool WatchSchedule::shouldRestartWatch(std::uint64_t newestElsewhere, TimePoint now)
{
    if (newestElsewhere <= m_newestRevision) {
        m_behindSince = TimePoint::max();
        return false;
    }
    m_behindSince = std::min(m_behindSince, now);
    if (now < m_behindSince + behindTime)
        return false;
    recordRevision(newestElsewhere);
    return true;
}

} // namespace burdockhead
