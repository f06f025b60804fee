#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Exponential backoff with full jitter: the upper bound doubles up to a cap, and the delay is drawn
// uniformly below it.
class BackoffSchedule
{
public:
    BackoffSchedule(Duration base, Duration cap);

    // Returns the time of the next attempt after the given number of attempts; always later than
    // `now`.
    TimePoint next(unsigned attempts, TimePoint now, Random &random) const;

private:
    Duration m_base;
    Duration m_cap;
};

} // namespace burdockhead
