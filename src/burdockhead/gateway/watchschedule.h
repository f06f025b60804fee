#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// How long a watch of the store may wait, and when it is to be asked anew. Each watch is a call
// that is paid for, and a connection to the store may go silent without a reset. So the watches
// of a fleet are long and end at different moments: one of them soon notices what the silent
// ones miss, and by gossip all hear of the change and ask anew. Answers the load pattern of a
// large fleet whose calls to the store grow with its size, and of engines that register one after
// the other for seconds.
class WatchSchedule
{
public:
    explicit WatchSchedule(Random seed)
        : m_random(seed)
    {}

    // How long the next watch may wait, in a fleet of so many gateways that hear of each other.
    Milliseconds nextWatchTimeout(std::size_t fleet);

    // The pause between changes and the next watch, so that one call takes several: longer while
    // they go on, and after changes that were no news to this process.
    Milliseconds delayAfterChanges(bool hasNews, TimePoint now);

    // Notes a change that this process has taken, by the store's revision of it.
    void recordRevision(std::uint64_t revision);
    std::uint64_t newestRevision() const { return m_newestRevision; }

    // Whether to ask anew, since another gateway has long told of a newer change. That change
    // then counts as seen: an answer to the new call brings it if there is one.
    bool shouldRestartWatch(std::uint64_t newestElsewhere, TimePoint now);

private:
    Random m_random;
    std::uint64_t m_newestRevision = 0;
    TimePoint m_lastChangeAt = TimePoint::min();
    Milliseconds m_delay{0};
    TimePoint m_behindSince = TimePoint::max();
};

} // namespace burdockhead
