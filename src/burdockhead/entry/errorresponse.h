#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/runstate.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/http/httpresponse.h>

#include <optional>
#include <string>

namespace burdockhead {

// The error reported to a caller whose request failed.
struct CallerError
{
    ErrorKind m_kind = ErrorKind::Internal;
    RunState m_runState = RunState::Unknown;
    std::string m_reason;                  // Empty: the default text of the kind.
    std::optional<TimePoint> m_retryAfter; // Earliest time to retry; none: the default delay.
    std::string m_requestId;               // Empty when the request has no ID yet.
};

// Returns the error as JSON, for a response body or a stream event.
std::string errorJson(const CallerError &error, TimePoint now);

// Returns the error as a complete response, with Retry-After for kinds that define it.
HttpResponse errorResponse(const CallerError &error, TimePoint now);

} // namespace burdockhead
