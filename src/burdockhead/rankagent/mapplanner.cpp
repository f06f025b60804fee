#include <burdockhead/expertmap/layerbalancer.h>
#include <burdockhead/rankagent/mapplanner.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Bounds the work on one layer; a change rarely allows more.
constexpr std::size_t maxMoves = 128;

// The most experts that a rank holds in one placement and not in the other.
std::size_t mostNewOnARank(const LayerPlacement &from, const LayerPlacement &to, std::size_t ranks)
{
    std::vector<std::size_t> added(ranks, 0);
    for (std::size_t expert = 0; expert < to.size(); ++expert) {
        for (const std::uint16_t rank : to[expert]) {
            if (!std::binary_search(from[expert].begin(), from[expert].end(), rank))
                ++added[rank];
        }
    }
    return *std::max_element(added.begin(), added.end());
}

LayerPlacement planLayer(const LayerPlacement &current, const LayerLoads &loads,
                         const MapChangeLimits &limits)
{
    LayerBalancer balancer(current, loads, limits.m_shape);
    LayerPlacement placement = current;
    for (std::size_t moves = 0; moves < maxMoves; ++moves) {
        const auto move = balancer.improve();
        if (!move)
            break;
        LayerPlacement next = placement;
        applyMove(next, *move);
        if (mostNewOnARank(current, next, limits.m_shape.m_ranks) > limits.m_newPerRank)
            break;
        placement = std::move(next);
    }
    return placement;
}

} // namespace

std::optional<ExpertMap> planMapChange(const ExpertMap &current, const GroupLoads &loads,
                                       const MapChangeLimits &limits)
{
    ExpertMap planned = current;
    for (std::size_t layer = 0; layer < current.m_layers.size(); ++layer)
        planned.m_layers[layer] =
            planLayer(current.m_layers[layer], loads.m_layers[layer], limits);
    const double before = skewOf(current, loads, limits.m_shape.m_ranks);
    const double after = skewOf(planned, loads, limits.m_shape.m_ranks);
    if (before - after < limits.m_leastGain)
        return std::nullopt;
    return planned;
}

} // namespace burdockhead
