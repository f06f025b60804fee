#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace burdockhead {

// A hybrid logical timestamp: wall-clock milliseconds since 1970 and a counter that orders
// events within a millisecond. If one event may have caused another, its timestamp is lower,
// regardless of the clock skew between the VMs.
struct HybridTime
{
    std::uint64_t m_milliseconds = 0;
    std::uint64_t m_counter = 0;

    // Formats the time in UTC as "2026-12-03T22:10:05.123+4".
    std::string toString() const;

    friend bool operator==(const HybridTime &, const HybridTime &) = default;
    friend bool operator<(const HybridTime &left, const HybridTime &right)
    {
        return std::tie(left.m_milliseconds, left.m_counter)
               < std::tie(right.m_milliseconds, right.m_counter);
    }
};

} // namespace burdockhead
