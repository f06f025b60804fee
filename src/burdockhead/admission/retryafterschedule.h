#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// Tells refused callers when to come back, spread at the rate at which requests end, so that
// they don't return in one rush.
class RetryAfterSchedule
{
public:
    // Draws from a generator with this seed.
    explicit RetryAfterSchedule(std::uint64_t seed);

    // The next caller's time: after the backlog is worked off and after the callers told
    // before, at most `longest` away. `spacing` is the mean time between two ends.
    TimePoint next(TimePoint now, Duration backlog, Duration spacing, Duration maxDelay);

private:
    Random m_random;
    TimePoint m_lastRetryTime;
};

} // namespace burdockhead
