#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <deque>

namespace burdockhead {

// Counts events in a sliding time window. Bounds the requests sent to an endpoint in any second, so
// that one that has become cold before anyone has noticed isn't overrun: the bound applies to warm
// endpoints too.
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(Milliseconds window)
        : m_window(window)
    {}

    // Returns whether fewer than `limit` events are within the window.
    bool allows(std::size_t limit, TimePoint now);

    void record(TimePoint now) { m_timestamps.push_back(now); }

    // Returns the number of events within the window.
    std::size_t count(TimePoint now);

private:
    Milliseconds m_window;
    std::deque<TimePoint> m_timestamps;
};

} // namespace burdockhead
