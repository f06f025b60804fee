#include <burdockhead/expertmap/fullrecomputeplanner.h>

#include <algorithm>
#include <optional>

namespace burdockhead {

namespace {

struct Share
{
    double m_load = 0;
    std::size_t m_expert = 0;
};

std::vector<Share> sharesOf(const LayerLoads &loads, const GroupShape &shape)
{
    const auto counts = replicaCounts(loads, shape);
    std::vector<Share> shares;
    for (std::size_t expert = 0; expert < loads.size(); ++expert) {
        const Share share{loads[expert] / static_cast<double>(counts[expert]), expert};
        shares.insert(shares.end(), counts[expert], share);
    }
    std::stable_sort(shares.begin(), shares.end(), [](const Share &left, const Share &right) {
        return left.m_load > right.m_load;
    });
    return shares;
}

// Places the shares of one layer.
class LayerFiller
{
public:
    LayerFiller(std::size_t experts, const GroupShape &shape)
        : m_slots(shape.m_slotsPerRank)
        , m_placement(experts)
        , m_loads(shape.m_rankCount, 0.0)
        , m_held(shape.m_rankCount, 0)
    {}

    void place(const Share &share)
    {
        const auto rank = lightestFor(m_placement[share.m_expert]);
        if (!rank)
            return;
        m_placement[share.m_expert].push_back(static_cast<std::uint16_t>(*rank));
        m_loads[*rank] += share.m_load;
        ++m_held[*rank];
    }

    LayerPlacement take()
    {
        for (ExpertReplicas &replicas : m_placement)
            std::sort(replicas.begin(), replicas.end());
        return std::move(m_placement);
    }

private:
    std::optional<std::size_t> lightestFor(const ExpertReplicas &replicas) const
    {
        std::optional<std::size_t> lightest;
        for (std::size_t rank = 0; rank < m_loads.size(); ++rank) {
            const bool held = std::find(replicas.begin(), replicas.end(), rank) != replicas.end();
            if (held || m_held[rank] == m_slots)
                continue;
            if (!lightest || m_loads[rank] < m_loads[*lightest])
                lightest = rank;
        }
        return lightest;
    }

    std::size_t m_slots;
    LayerPlacement m_placement;
    std::vector<double> m_loads;
    std::vector<std::size_t> m_held;
};

} // namespace

ExpertMap FullRecomputePlanner::plan(const ExpertMap &current, const GroupLoads &loads) const
{
    ExpertMap map;
    map.m_version = current.m_version;
    for (const LayerLoads &layer : loads.m_layers) {
        LayerFiller filler(layer.size(), m_shape);
        for (const Share &share : sharesOf(layer, m_shape))
            filler.place(share);
        map.m_layers.push_back(filler.take());
    }
    return map;
}

} // namespace burdockhead
