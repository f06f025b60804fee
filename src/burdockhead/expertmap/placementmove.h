#pragma once

#include <burdockhead/expertmap/expertmap.h>

#include <vector>

namespace burdockhead {

// Adds a replica of an expert to a rank, or removes it.
struct ReplicaChange
{
    std::uint16_t m_expert = 0;
    std::uint16_t m_rank = 0;
    bool m_isAdded = true;

    friend bool operator==(const ReplicaChange &, const ReplicaChange &) = default;
};

// Changes of one layer that are applied together.
struct PlacementMove
{
    std::vector<ReplicaChange> m_changes;

    // Returns the number of replicas that ranks have to load.
    std::size_t expertsToLoad() const;

    friend bool operator==(const PlacementMove &, const PlacementMove &) = default;
};

// Applies a move to a placement.
void applyMove(LayerPlacement &placement, const PlacementMove &move);

} // namespace burdockhead
