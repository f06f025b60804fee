#pragma once

#include <chrono>

namespace burdockhead {

// The clock that all decisions reckon with. Decision classes never read it; they are
// given a time point. Virtual-time tests build time points of their own.
using Clock = std::chrono::steady_clock;

// A point in time, and what deadlines are stored as.
using TimePoint = Clock::time_point;

// A length of time, used for settings and arithmetic and never stored as a deadline.
using Duration = Clock::duration;

using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// Whole milliseconds from one time point to a later one; 0 when the later one has passed.
inline std::chrono::milliseconds::rep millisecondsUntil(TimePoint later, TimePoint now)
{
    return later <= now ? 0 : std::chrono::duration_cast<Milliseconds>(later - now).count();
}

} // namespace burdockhead
