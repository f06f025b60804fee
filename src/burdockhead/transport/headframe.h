#pragma once

#include <burdockhead/idempotency/attemptid.h>
#include <burdockhead/observe/hybridtime.h>

#include <string>

namespace burdockhead {

// The status with which an agent answers a look-up of a request that is still running.
constexpr int processingStatus = 102;

// Agent to entry: the head of the endpoint's answer.
struct HeadFrame
{
    AttemptId m_attempt;
    int m_status = 0;
    std::string m_contentType;
    bool m_replayed = false; // From the ledger: the request ran before.
    HybridTime m_sentAt;     // The sender's hybrid clock, for the order of the time line.

    friend bool operator==(const HeadFrame &, const HeadFrame &) = default;
};

} // namespace burdockhead
