#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// Decides how long a watch of the store may last and when to restart it. Each watch is a call that
// is charged, and a connection to the store may become unresponsive while the kernel of the other
// side goes on acknowledging, so that only the end of the watch shows it. A few gateways watch for
// so short a time that each notices this by itself. The watches of many gateways are longer and end
// at different times: some of them soon notice what the unresponsive ones miss, and by gossip the
// others learn of the change and restart theirs. Keeps the calls of many gateways to the store few,
// also while engines register one after the other for seconds.
class WatchSchedule
{
public:
    explicit WatchSchedule(Random seed)
        : m_random(seed)
    {}

    // Returns the timeout of the next watch, given the number of gateways in the gossip.
    Milliseconds nextWatchTimeout(std::size_t gatewayCount);

    // Returns the delay between changes and the next watch, so that one call returns several:
    // longer while changes continue, and after changes that were not new to this process.
    Milliseconds delayAfterChanges(bool hasNewChanges, TimePoint now);

    // Records the store revision of a change that this process has applied.
    void recordRevision(std::uint64_t revision);
    std::uint64_t newestRevision() const { return m_newestRevision; }

    // Records that the view contains all changes up to that revision, of any collection.
    void recordView(std::uint64_t revision);

    // Returns whether to restart the watch, since another gateway has known a newer revision for
    // some time. Repeated until the view contains it, since the next watch may hang as well.
    bool shouldRestartWatch(std::uint64_t knownElsewhere, TimePoint now);

private:
    Random m_random;
    std::uint64_t m_newestRevision = 0;
    std::uint64_t m_viewRevision = 0;
    TimePoint m_lastChangeAt = TimePoint::min();
    Milliseconds m_delay{0};
    TimePoint m_nextRestartAt = TimePoint::max();
};

} // namespace burdockhead
