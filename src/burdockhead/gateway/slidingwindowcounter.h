#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <deque>

namespace burdockhead {

// Bounds what is sent in any span of time of a given length. Answers the load pattern of an
// endpoint that turns cold before anybody has noticed: the bound holds for warm ones too.
class SlidingWindowCounter
{
public:
    explicit SlidingWindowCounter(Milliseconds span)
        : m_window(span)
    {}

    // Whether one more may be sent while at most so many are allowed.
    bool allows(std::size_t limit, TimePoint now);

    void record(TimePoint now) { m_timestamps.push_back(now); }

    // Those within the span.
    std::size_t count(TimePoint now);

private:
    Milliseconds m_window;
    std::deque<TimePoint> m_timestamps;
};

} // namespace burdockhead
