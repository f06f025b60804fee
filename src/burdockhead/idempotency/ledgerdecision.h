#pragma once

#include <burdockhead/idempotency/storedresponse.h>

#include <optional>

namespace burdockhead {

// What the agent does with a dispatched attempt.
enum class LedgerVerdict {
    Run,            // First attempt of the request: forward it to the endpoint. It is now recorded.
    Replay,         // It has run: send the stored response.
    AlreadyRunning, // It is running: wait for the same response.
    RefusedTombstoned,        // A late duplicate of an attempt that was reported as not run.
    StaleIncarnation,         // The key is bound to another incarnation of the agent.
    KeyReusedForOtherRequest, // The key was used for a different request.
    OutcomeUnknown,           // It may have run; its response was lost or evicted.
    Full,                     // No space for a new record. It did not run.
};

// The ledger's decision on a dispatched attempt.
struct LedgerDecision
{
    LedgerVerdict m_verdict = LedgerVerdict::Full;
    std::optional<StoredResponse> m_response; // For Replay.

    friend bool operator==(const LedgerDecision &, const LedgerDecision &) = default;
};

} // namespace burdockhead
