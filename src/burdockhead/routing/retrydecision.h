#pragma once

#include <burdockhead/base/timepoint.h>

#include <optional>

namespace burdockhead {

// When a failed request is tried again; none means that it is given up.
struct RetryDecision
{
    std::optional<TimePoint> m_retryAt;

    friend bool operator==(const RetryDecision &, const RetryDecision &) = default;
};

} // namespace burdockhead
