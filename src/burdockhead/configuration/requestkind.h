#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// A kind of request of the configuration.
struct RequestKind
{
    KindName m_name;
    bool m_repeatable = true;       // May run more than once, so retries and hedges are allowed.
    std::uint32_t m_weight = 1;     // Weight of one completed request against others.
    std::uint32_t m_priority = 1;   // 0 is the lowest, 9 the highest.
    Milliseconds m_deadline{30000}; // Default and maximum of a request's deadline.

    friend bool operator==(const RequestKind &, const RequestKind &) = default;
};

} // namespace burdockhead
