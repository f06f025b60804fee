#pragma once

#include <burdockhead/expertmap/grouploads.h>
#include <burdockhead/expertmap/placementmove.h>

#include <optional>
#include <utility>
#include <vector>

namespace burdockhead {

// Greedy local search for the placement of one layer; each move reduces the load of the most
// loaded rank. Loads are weighted by the ranks' slowdown, so a slow rank can lose all its experts.
class LayerBalancer
{
public:
    LayerBalancer(const LayerPlacement &placement, const LayerLoads &loads,
                  const GroupShape &shape);

    // Applies and returns the move that reduces the maximum rank load most per expert to load;
    // none if no move reduces it.
    std::optional<PlacementMove> applyBestMove();

    // Returns the load of the most loaded rank.
    double maxRankLoad() const;

private:
    struct Candidate
    {
        PlacementMove m_move;
        double m_score = 0; // Reduction of the maximum rank load per expert to load.
    };

    // Effect of a move on its source, the most loaded rank, and its target.
    struct LoadShift
    {
        double m_removed = 0; // Load taken off the source.
        double m_added = 0;   // Load added to the target.
        std::size_t m_expertsToLoad = 0;
    };

    bool holds(std::size_t rank, std::size_t expert) const;
    bool hasFreeSlot(std::size_t rank) const
    {
        return m_expertsByRank[rank].size() < m_shape.m_slotsPerRank;
    }
    double slowdown(std::size_t rank) const
    {
        return rank < m_shape.m_slowdownByRank.size() ? m_shape.m_slowdownByRank[rank] : 1;
    }
    bool hasOtherReplica(std::size_t expert) const { return m_placement[expert].size() > 1; }
    double replicaLoad(std::size_t expert, std::size_t addedReplicas) const;
    bool staysBelowSource(std::uint16_t source, std::uint16_t target, double added) const;
    std::vector<std::uint16_t> targetRanks(std::uint16_t source) const;
    void tryTarget(std::uint16_t source, std::uint16_t target);
    void tryReplicate(std::uint16_t source, std::uint16_t target, std::uint16_t expert);
    void trySwap(std::uint16_t source, std::uint16_t target, std::uint16_t expert);
    void tryEviction(std::uint16_t source, std::uint16_t target,
                     const std::vector<std::uint16_t> &targets);
    void tryEvictionTo(std::uint16_t source, const ReplicaChange &replicate,
                       const ReplicaChange &evict);
    bool canBeBest(std::uint16_t source, std::uint16_t target, const LoadShift &shift) const;
    bool isBetter(double before, double gain, std::size_t expertsToLoad) const;
    void considerMove(std::uint16_t source, PlacementMove move);
    double maxLoadAfter(const PlacementMove &move);
    void addLoadDeltas(const PlacementMove &move, std::uint16_t expert);
    void apply(const PlacementMove &move);

    GroupShape m_shape;
    const LayerLoads &m_expertLoads;
    LayerPlacement m_placement;
    std::vector<std::vector<std::uint16_t>> m_expertsByRank; // Indexed by rank.
    std::vector<double> m_rankLoads;                         // Weighted by slowdown.
    std::optional<Candidate> m_bestCandidate;
    std::vector<std::pair<std::uint16_t, double>>
        m_loadDeltas; // Scratch space: rank, change of load.
};

} // namespace burdockhead
