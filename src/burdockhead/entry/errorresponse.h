#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/runstate.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/http/httpresponse.h>

#include <optional>
#include <string>

namespace burdockhead {

// What a caller is told when a request has no answer.
struct CallerError
{
    ErrorKind m_kind = ErrorKind::Internal;
    RunState m_runState = RunState::Unknown;
    std::string m_reason;                // Empty: the kind's own text.
    std::optional<TimePoint> m_comeBack; // When to ask again; none: the kind's default.
    std::string m_requestId;             // Empty when the request had none yet.
};

// The error as JSON, for a body or an event of a stream.
std::string errorJson(const CallerError &error, TimePoint now);

// The error as a whole response, with Retry-After where the kind tells when to come back.
HttpResponse errorResponse(const CallerError &error, TimePoint now);

} // namespace burdockhead
