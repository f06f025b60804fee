#pragma once

#include <burdockhead/base/timepoint.h>

#include <optional>

namespace burdockhead {

// Time of the next attempt of a failed request; none means no further attempt.
struct RetryDecision
{
    std::optional<TimePoint> m_retryAt;

    friend bool operator==(const RetryDecision &, const RetryDecision &) = default;
};

} // namespace burdockhead
