#pragma once

#include <burdockhead/base/timepoint.h>

#include <compare>
#include <cstdint>

namespace burdockhead {

// A fact about the configuration: no version above m_version was accepted before m_asOf.
// Stays true for ever and may be passed on from process to process.
struct FreshnessClaim
{
    std::uint64_t m_version = 0;
    TimePoint m_asOf;

    friend auto operator<=>(const FreshnessClaim &, const FreshnessClaim &) = default;
};

} // namespace burdockhead
