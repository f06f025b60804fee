#pragma once

#include <burdockhead/admission/loadreport.h>
#include <burdockhead/idempotency/attemptid.h>
#include <burdockhead/observe/hybridtime.h>

namespace burdockhead {

// Agent to entry: the answer is whole.
struct EndFrame
{
    AttemptId m_attempt;
    std::uint64_t m_length = 0; // Bytes in the whole body.
    LoadReport m_load;
    HybridTime m_sentAt; // The sender's hybrid clock, for the order of the time line.

    friend bool operator==(const EndFrame &, const EndFrame &) = default;
};

} // namespace burdockhead
