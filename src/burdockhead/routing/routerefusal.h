#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Why a request gets no replica and when its caller should come back. The times to come
// back are spread, so that refused callers don't return together.
struct RouteRefusal
{
    ErrorKind m_kind = ErrorKind::NoEndpoint;
    TimePoint m_retryAfter;

    friend bool operator==(const RouteRefusal &, const RouteRefusal &) = default;
};

} // namespace burdockhead
