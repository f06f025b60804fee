#pragma once

#include <burdockhead/idempotency/attemptid.h>

namespace burdockhead {

// Entry to agent: nobody waits for this attempt any more.
struct CancelFrame
{
    AttemptId m_attempt;

    friend bool operator==(const CancelFrame &, const CancelFrame &) = default;
};

} // namespace burdockhead
