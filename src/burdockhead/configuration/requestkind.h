#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// A kind of request as the operators declare it.
struct RequestKind
{
    KindName m_name;
    bool m_repeatable = true;       // May run more than once; retries and hedges allowed.
    std::uint32_t m_weight = 1;     // What one completed request counts for.
    std::uint32_t m_priority = 1;   // 0 is the lowest, 9 the highest.
    Milliseconds m_deadline{30000}; // Used when the caller names none, and the longest.

    friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

} // namespace burdockhead
