#pragma once

#include <burdockhead/idempotency/attemptid.h>

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

    friend bool operator==(const HeadFrame &, const HeadFrame &) = default;
};

} // namespace burdockhead
