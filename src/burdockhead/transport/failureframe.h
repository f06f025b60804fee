#pragma once

#include <burdockhead/admission/loadreport.h>
#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/runstate.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/idempotency/attemptid.h>
#include <burdockhead/observe/hybridtime.h>

#include <string>

namespace burdockhead {

// Agent to entry: there is no answer, or it broke off. On the wire the time to come back is
// the time left.
struct FailureFrame
{
    AttemptId m_attempt;
    ErrorKind m_kind = ErrorKind::Internal;
    RunState m_runState = RunState::Unknown;
    std::string m_reason;
    TimePoint m_comeBack;
    LoadReport m_load;
    HybridTime m_sentAt; // The sender's hybrid clock, for the order of the time line.

    friend bool operator==(const FailureFrame &, const FailureFrame &) = default;
};

} // namespace burdockhead
