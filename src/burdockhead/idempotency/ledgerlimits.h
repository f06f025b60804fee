#pragma once

#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstddef>

namespace burdockhead {

// Size of a ledger, and how long it keeps a record after the outcome is known.
struct LedgerLimits
{
    std::size_t m_maxBytes = std::size_t{16} * 1024 * 1024;
    Milliseconds m_keyRetention{26LL * 3600
                                * 1000}; // Longer than the lifetime of the keys' claims.
    Milliseconds m_attemptRetention{15LL * 60 * 1000}; // Of tombstones and keyless attempts.
    std::size_t m_maxIssuers = 4096;                   // Entry processes with watermarks.

    friend auto operator<=>(const LedgerLimits &, const LedgerLimits &) = default;
};

} // namespace burdockhead
