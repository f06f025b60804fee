#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Reason why a request gets no replica, and when the caller should retry. Retry times are jittered,
// so that refused callers don't retry simultaneously.
struct RouteRefusal
{
    ErrorKind m_kind = ErrorKind::NoEndpoint;
    TimePoint m_retryAfter;

    friend bool operator==(const RouteRefusal &, const RouteRefusal &) = default;
};

} // namespace burdockhead
