#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Times between attempts: doubling up to a cap, drawn from the whole range below.
class BackoffSchedule
{
public:
    BackoffSchedule(Duration base, Duration cap);

    // When to try again after that many attempts; always after `now`.
    TimePoint next(unsigned attempts, TimePoint now, Random &random) const;

private:
    Duration m_base;
    Duration m_cap;
};

} // namespace burdockhead
