#include <burdockhead/expertmap/fullrecomputeplanner.h>

#include <algorithm>
#include <optional>

namespace burdockhead {

namespace {

struct ExpertReplicaLoad
{
    double m_load = 0;
    std::size_t m_expert = 0;
};

std::vector<ExpertReplicaLoad> replicaLoadsOf(const LayerLoads &loads, const GroupShape &shape)
{
    const auto counts = replicaCounts(loads, shape);
    std::vector<ExpertReplicaLoad> replicaLoads;
    for (std::size_t expert = 0; expert < loads.size(); ++expert) {
        const ExpertReplicaLoad replica{loads[expert] / static_cast<double>(counts[expert]),
                                        expert};
        replicaLoads.insert(replicaLoads.end(), counts[expert], replica);
    }
    std::stable_sort(replicaLoads.begin(), replicaLoads.end(),
                     [](const ExpertReplicaLoad &left, const ExpertReplicaLoad &right) {
                         return left.m_load > right.m_load;
                     });
    return replicaLoads;
}

// Places the replicas of one layer.
class LayerPlacer
{
public:
    LayerPlacer(std::size_t experts, const GroupShape &shape)
        : m_slotsPerRank(shape.m_slotsPerRank)
        , m_placement(experts)
        , m_rankLoads(shape.m_rankCount, 0.0)
        , m_expertCounts(shape.m_rankCount, 0)
    {}

    void place(const ExpertReplicaLoad &replica)
    {
        const auto rank = leastLoadedRankFor(m_placement[replica.m_expert]);
        if (!rank)
            return;
        m_placement[replica.m_expert].push_back(static_cast<std::uint16_t>(*rank));
        m_rankLoads[*rank] += replica.m_load;
        ++m_expertCounts[*rank];
    }

    LayerPlacement takePlacement()
    {
        for (ExpertReplicas &replicas : m_placement)
            std::sort(replicas.begin(), replicas.end());
        return std::move(m_placement);
    }

private:
    std::optional<std::size_t> leastLoadedRankFor(const ExpertReplicas &replicas) const
    {
        std::optional<std::size_t> leastLoaded;
        for (std::size_t rank = 0; rank < m_rankLoads.size(); ++rank) {
            const bool isHeld = std::find(replicas.begin(), replicas.end(), rank) != replicas.end();
            if (isHeld || m_expertCounts[rank] == m_slotsPerRank)
                continue;
            if (!leastLoaded || m_rankLoads[rank] < m_rankLoads[*leastLoaded])
                leastLoaded = rank;
        }
        return leastLoaded;
    }

    std::size_t m_slotsPerRank;
    LayerPlacement m_placement;
    std::vector<double> m_rankLoads;
    std::vector<std::size_t> m_expertCounts;
};

} // namespace

ExpertMap FullRecomputePlanner::plan(const ExpertMap &current, const GroupLoads &loads) const
{
    ExpertMap map;
    map.m_version = current.m_version;
    for (const LayerLoads &layer : loads.m_layers) {
        LayerPlacer placer(layer.size(), m_shape);
        for (const ExpertReplicaLoad &replica : replicaLoadsOf(layer, m_shape))
            placer.place(replica);
        map.m_layers.push_back(placer.takePlacement());
    }
    return map;
}

} // namespace burdockhead
