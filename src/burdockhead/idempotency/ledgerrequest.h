#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/idempotency/attemptid.h>
#include <burdockhead/idempotency/ticket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace burdockhead {

// What the ledger needs to know of a request that an entry has sent.
struct LedgerRequest
{
    AttemptId m_attempt;
    std::string m_key;               // Workspace and caller's key; empty for a repeatable request.
    std::uint64_t m_fingerprint = 0; // Of the request's method, path and body.
    std::optional<Incarnation> m_boundTo; // The agent's run that the key is bound to.
    std::optional<Ticket> m_ticket;       // When the key is one.
};

} // namespace burdockhead
