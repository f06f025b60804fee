#pragma once

#include <burdockhead/expertmap/expertmap.h>

#include <vector>

namespace burdockhead {

// Tokens routed to each expert of a layer; only their ratios matter.
using LayerLoads = std::vector<double>;

// Tokens routed to each expert, by layer.
struct GroupLoads
{
    std::vector<LayerLoads> m_layers;

    friend bool operator==(const GroupLoads &, const GroupLoads &) = default;
};

// Number of ranks of a group, and of expert slots of each rank in a layer.
struct GroupShape
{
    std::size_t m_rankCount = 1;
    std::size_t m_slotsPerRank = 1;
    std::vector<double> m_slowdownByRank = {}; // Relative time for the same work; empty: equal.

    friend bool operator==(const GroupShape &, const GroupShape &) = default;
};

// Returns the tokens that each rank processes in a layer, if an expert's tokens are distributed
// evenly over its replicas.
std::vector<double> rankLoads(const LayerPlacement &placement, const LayerLoads &loads,
                              std::size_t rankCount);

// Returns the relative time that each rank needs for these tokens.
std::vector<double> rankTimes(const LayerPlacement &placement, const LayerLoads &loads,
                              const GroupShape &shape);

// Returns the ratio of the maximum rank load to the mean. Maxima are summed over the layers, since
// all ranks wait for the most loaded one in each layer. 1 is perfect balance, also returned if
// there is no load.
double skewOf(const ExpertMap &map, const GroupLoads &loads, std::size_t rankCount);

// Returns the skew in time: that of the slowest rank, relative to the mean load on a healthy rank.
double skewOf(const ExpertMap &map, const GroupLoads &loads, const GroupShape &shape);

// Returns a lower bound of the skew of any placement: given by the mean load, or by the maximum
// load per replica when the spare slots hold replicas of the hottest experts.
double skewLowerBound(const GroupLoads &loads, const GroupShape &shape);

// Returns the number of replicas of each expert if each spare slot goes to the expert with the
// highest load per replica. At least one each, if there are enough slots, and at most one per rank.
std::vector<std::size_t> replicaCounts(const LayerLoads &loads, const GroupShape &shape);

// Returns true if each expert has a replica and no rank exceeds its number of slots.
bool fits(const ExpertMap &map, const GroupShape &shape);

} // namespace burdockhead
