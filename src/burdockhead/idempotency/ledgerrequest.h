#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/idempotency/attemptid.h>
#include <burdockhead/idempotency/ticket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace burdockhead {

// The attributes of an entry's request that the ledger uses.
struct LedgerRequest
{
    AttemptId m_attempt;
    std::string m_key; // Workspace and the caller's key; empty for a repeatable request.
    std::uint64_t m_fingerprint = 0;      // Of the request's method, path and body.
    std::optional<Incarnation> m_boundTo; // The agent's incarnation to which the key is bound.
    std::optional<Ticket> m_ticket;       // If the key is a ticket.
};

} // namespace burdockhead
