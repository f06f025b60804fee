#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// Assigns retry times to refused requests, spaced at the rate at which requests end, so that the
// retries don't arrive as one burst.
class RetryAfterSchedule
{
public:
    // Seeds the random jitter.
    explicit RetryAfterSchedule(std::uint64_t seed);

    // Returns the next retry time, as a point in time and not a delay: after the backlog is
    // processed and after the retries assigned before, at most `maxDelay` away. `spacing` is the
    // average time between two completions.
    TimePoint next(TimePoint now, Duration backlog, Duration spacing, Duration maxDelay);

private:
    Random m_random;
    TimePoint m_lastRetryTime;
};

} // namespace burdockhead
