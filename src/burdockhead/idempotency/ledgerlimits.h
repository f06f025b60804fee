#pragma once

#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstddef>

namespace burdockhead {

// How much a ledger keeps, and for how long after the last word on it.
struct LedgerLimits
{
    std::size_t m_maxBytes = std::size_t{16} * 1024 * 1024;
    Milliseconds m_keyRetention{26LL * 3600 * 1000};   // Longer than the keys' claims live.
    Milliseconds m_attemptRetention{15LL * 60 * 1000}; // Of tombstones and keyless attempts.
    std::size_t m_issuers = 4096;                      // Entry processes remembered.

    friend auto operator<=>(const LedgerLimits &, const LedgerLimits &) = default;
};

} // namespace burdockhead
