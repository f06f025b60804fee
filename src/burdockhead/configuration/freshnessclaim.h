#pragma once

#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstdint>

namespace burdockhead {

// Claims that no configuration version above m_version was accepted before m_asOf. Never becomes
// false, so processes may forward it to each other.
struct FreshnessClaim
{
    std::uint64_t m_version = 0;
    TimePoint m_asOf;

    friend auto operator<=>(const FreshnessClaim &, const FreshnessClaim &) = default;
};

} // namespace burdockhead
