#pragma once

#include <burdockhead/base/timepoint.h>
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
    Milliseconds m_changeTime{200};  // Duration of a change without its loads.
    double m_loadMilliseconds = 0;   // Time for a rank to load one expert.
    double m_skewTolerance = 0.1;    // Overload above the mean below which a layer isn't changed.
    double m_minSkewReduction = 0.1; // Skew that a change must remove to be worthwhile.

    friend bool operator==(const MapChangeLimits &, const MapChangeLimits &) = default;
};

// Plans the next map towards an even load: the change that removes the most skew per time until it
// is in use. Returns none when it would remove too little skew. A few experts are in high demand,
// which ones changes within seconds, and each step takes several times as long until the map
// follows. So after a shift a small change that is soon in use comes first, and larger ones after
// it.
std::optional<ExpertMap> planMapChange(const ExpertMap &current, const GroupLoads &loads,
                                       const MapChangeLimits &limits);

// Returns whether a plan that is being loaded still suits loads that have changed since it was
// made: finishing it is worthwhile if it removes a fair part of the skew that a map can remove.
// What looks like a shift may be the counts of ranks that take more or less work, and a plan that
// is dropped has cost its loads.
bool isStillWorthwhile(const ExpertMap &planned, const ExpertMap &current, const GroupLoads &loads,
                       const GroupShape &shape);

} // namespace burdockhead
