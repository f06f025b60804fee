#pragma once

#include <burdockhead/expertmap/grouploads.h>
#include <burdockhead/expertmap/placementmove.h>

#include <optional>
#include <utility>
#include <vector>

namespace burdockhead {

// Improves the placement of one layer move by move, each time relieving the heaviest rank. A slow
// rank counts as heavier for the same load, up to being left without any expert.
class LayerBalancer
{
public:
    LayerBalancer(const LayerPlacement &placement, const LayerLoads &loads,
                  const GroupShape &shape);

    // Makes the move that lowers the heaviest rank most for each expert to load; none when
    // no move lowers it.
    std::optional<PlacementMove> applyBestMove();

    // The heaviest rank's load.
    double maxRankLoad() const;

private:
    struct Candidate
    {
        PlacementMove m_move;
        double m_score = 0; // Load taken off the heaviest rank, for each expert to load.
    };

    // What a move does to the two ranks between which it is made.
    struct Shifted
    {
        double m_taken = 0; // Load that the heaviest rank gives away.
        double m_given = 0; // Load that the target gets.
        std::size_t m_loads = 0;
    };

    bool holds(std::size_t rank, std::size_t expert) const;
    bool hasFreeSlot(std::size_t rank) const
    {
        return m_held[rank].size() < m_shape.m_slotsPerRank;
    }
    double slowness(std::size_t rank) const
    {
        return rank < m_shape.m_slowdownByRank.size() ? m_shape.m_slowdownByRank[rank] : 1;
    }
    bool isDroppable(std::size_t expert) const { return m_placement[expert].size() > 1; }
    double share(std::size_t expert, std::size_t addedReplicas) const;
    bool relieves(std::uint16_t heavy, std::uint16_t target, double added) const;
    std::vector<std::uint16_t> targetsFor(std::uint16_t heaviestRank) const;
    void tryTarget(std::uint16_t heavy, std::uint16_t target);
    void tryReplicate(std::uint16_t heavy, std::uint16_t target, std::uint16_t expert);
    void trySwap(std::uint16_t heavy, std::uint16_t target, std::uint16_t expert);
    void tryEviction(std::uint16_t heavy, std::uint16_t target,
                     const std::vector<std::uint16_t> &targets);
    void tryEvictionTo(std::uint16_t heavy, const ReplicaChange &replicate,
                       const ReplicaChange &evict);
    bool canBeBest(std::uint16_t heavy, std::uint16_t target, const Shifted &shifted) const;
    bool isBetter(double before, double gain, std::size_t loads) const;
    void consider(std::uint16_t heavy, PlacementMove move);
    double heaviestAfter(const PlacementMove &move);
    void addDeltas(const PlacementMove &move, std::uint16_t expert);
    void apply(const PlacementMove &move);

    GroupShape m_shape;
    const LayerLoads &m_loads;
    LayerPlacement m_placement;
    std::vector<std::vector<std::uint16_t>> m_held; // Experts, by rank.
    std::vector<double> m_rankLoads;                // As time; slow ranks take more.
    std::optional<Candidate> m_best;
    std::vector<std::pair<std::uint16_t, double>> m_deltas; // Scratch: by rank.
};

} // namespace burdockhead
