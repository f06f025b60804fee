#pragma once

#include <compare>
#include <cstdint>

namespace burdockhead {

// Identifies one run of a process. A restarted process has a higher number; 0 is none.
struct Incarnation
{
    std::uint64_t m_value = 0;

    friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

} // namespace burdockhead
