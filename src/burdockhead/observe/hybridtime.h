#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace burdockhead {

// A hybrid logical time: the wall clock in milliseconds since 1970, and a counter that
// orders events within a millisecond. If one event can have caused another, its time is
// the lower one, however far the clocks of the VMs are apart.
struct HybridTime
{
    std::uint64_t m_milliseconds = 0;
    std::uint64_t m_counter = 0;

    // The time in UTC as "2026-12-03T22:10:05.123+4".
    std::string toString() const;

    friend bool operator==(const HybridTime &, const HybridTime &) = default;
    friend bool operator<(const HybridTime &left, const HybridTime &right)
    {
        return std::tie(left.m_milliseconds, left.m_counter)
               < std::tie(right.m_milliseconds, right.m_counter);
    }
};

} // namespace burdockhead
