#pragma once

#include <burdockhead/expertmap/expertmap.h>

#include <vector>

namespace burdockhead {

// Tokens that go to each expert of a layer; only their ratios matter.
using LayerLoads = std::vector<double>;

// Tokens that go to each expert, for each layer.
struct GroupLoads
{
    std::vector<LayerLoads> m_layers;

    friend bool operator==(const GroupLoads &, const GroupLoads &) = default;
};

// The ranks of a group and the experts of one layer that each can hold.
struct GroupShape
{
    std::size_t m_rankCount = 1;
    std::size_t m_slotsPerRank = 1;
    std::vector<double> m_slowdownByRank = {}; // Time for the same work, by rank; empty: all alike.

    friend bool operator==(const GroupShape &, const GroupShape &) = default;
};

// The tokens that each rank gets in a layer, when an expert's tokens spread evenly over its
// replicas.
std::vector<double> rankLoads(const LayerPlacement &placement, const LayerLoads &loads,
                              std::size_t ranks);

// The same as the time that each rank takes for them.
std::vector<double> rankTimes(const LayerPlacement &placement, const LayerLoads &loads,
                              const GroupShape &shape);

// The heaviest rank's tokens over the ranks' mean, over all layers: ranks wait for the
// heaviest one in each layer, so the heaviest of each layer are added up. 1 is perfect
// balance, also given without any load.
double skewOf(const ExpertMap &map, const GroupLoads &loads, std::size_t ranks);

// The same in time: the slowest rank's over what the mean load takes on a rank that isn't slow.
double skewOf(const ExpertMap &map, const GroupLoads &loads, const GroupShape &shape);

// The least skew that any placement could reach: the mean, or the heaviest share that is
// left when the slots are spent on replicas of the hottest experts.
double skewLowerBound(const GroupLoads &loads, const GroupShape &shape);

// How many replicas each expert gets when all slots are spent on whichever expert has the
// heaviest share. Each gets at least one, if there are slots enough, and at most one a rank.
std::vector<std::size_t> replicaCounts(const LayerLoads &loads, const GroupShape &shape);

// True when each expert has a replica and no rank holds more than its slots.
bool fits(const ExpertMap &map, const GroupShape &shape);

} // namespace burdockhead
