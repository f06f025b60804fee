#pragma once

#include <burdockhead/expertmap/grouploads.h>

#include <cstddef>
#include <optional>

namespace burdockhead {

// What bounds one change of a group's map.
struct MapChangeLimits
{
    GroupShape m_shape;
    std::size_t m_newPerRank = 0;      // Experts of a layer that one rank may load in a change.
    std::size_t m_newPerRankInAll = 3; // Of all layers; the rank that loads most sets the time.
    double m_tolerance = 0.1;          // A layer this close to its mean is left alone.
    double m_leastGain = 0.1;          // Skew that a change must take off to be made.

    friend bool operator==(const MapChangeLimits &, const MapChangeLimits &) = default;
};

// The next map on the way to an even load: as many moves as one change allows. None when that
// wouldn't take off enough skew. Answers the load pattern of a few experts in high demand,
// which changes within seconds.
std::optional<ExpertMap> planMapChange(const ExpertMap &current, const GroupLoads &loads,
                                       const MapChangeLimits &limits);

} // namespace burdockhead
