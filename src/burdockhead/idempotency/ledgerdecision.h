#pragma once

#include <burdockhead/idempotency/storedresponse.h>

#include <optional>

namespace burdockhead {

enum class LedgerVerdict {
    Run,                      // The first time: hand it on. Later dispatches find it here.
    Replay,                   // It ran; give the stored answer.
    AlreadyRunning,           // It runs; wait for the same answer.
    RefusedTombstoned,        // A late copy of an attempt that was refused as not run.
    StaleIncarnation,         // It is bound to another run of the agent.
    KeyReusedForOtherRequest, // The key belongs to a different request.
    OutcomeUnknown,           // It may have run, and its answer is lost or forgotten.
    Full,                     // No room for a new key. It did not run.
};

// The ledger's answer to a dispatch.
struct LedgerDecision
{
    LedgerVerdict m_verdict = LedgerVerdict::Full;
    std::optional<StoredResponse> m_response; // For Replay.

    friend bool operator==(const LedgerDecision &, const LedgerDecision &) = default;
};

} // namespace burdockhead
