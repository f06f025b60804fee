#pragma once

#include <burdockhead/expertmap/grouploads.h>

#include <cstddef>
#include <optional>

namespace burdockhead {

// Limits of one change of a group's map.
struct MapChangeLimits
{
    GroupShape m_shape;
    std::size_t m_maxLoadsPerLayer = 0; // Experts of one layer that a rank may load in a change.
    // Experts of all layers that a rank may load; the rank with the most loads sets the duration.
    std::size_t m_maxLoadsPerRank = 3;
    double m_skewTolerance = 0.1;    // Overload above the mean below which a layer isn't changed.
    double m_minSkewReduction = 0.1; // Skew that a change must remove to be worthwhile.

    friend bool operator==(const MapChangeLimits &, const MapChangeLimits &) = default;
};

// Plans the next map towards an even load, with as many moves as one change allows. Returns none
// when it would remove too little skew. A few experts are in high demand, and which ones changes
// within seconds, so a change has to be small enough to load in time.
std::optional<ExpertMap> planMapChange(const ExpertMap &current, const GroupLoads &loads,
                                       const MapChangeLimits &limits);

} // namespace burdockhead
