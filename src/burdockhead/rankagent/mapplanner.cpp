#include <burdockhead/expertmap/layerbalancer.h>
#include <burdockhead/rankagent/mapplanner.h>

#include <algorithm>
#include <numeric>

namespace burdockhead {

namespace {

// Bounds the work on one layer; a change rarely allows more.
constexpr std::size_t maxMoves = 128;

using NewExperts = std::vector<std::size_t>; // By rank.

// How many experts each rank holds in one placement and not in the other.
NewExperts newExperts(const LayerPlacement &from, const LayerPlacement &to, std::size_t ranks)
{
    NewExperts added(ranks, 0);
    for (std::size_t expert = 0; expert < to.size(); ++expert) {
        for (const std::uint16_t rank : to[expert]) {
            if (!std::binary_search(from[expert].begin(), from[expert].end(), rank))
                ++added[rank];
        }
    }
    return added;
}

// The moves of a layer that are worth their loads, in order.
std::vector<PlacementMove> movesOf(const LayerPlacement &current, const LayerLoads &loads,
                                   const MapChangeLimits &limits)
{
    std::vector<PlacementMove> moves;
    const double mean = std::accumulate(loads.begin(), loads.end(), 0.0)
                        / static_cast<double>(limits.m_shape.m_ranks);
    LayerBalancer balancer(current, loads, limits.m_shape);
    while (moves.size() < maxMoves && balancer.heaviest() > (1 + limits.m_tolerance) * mean) {
        const auto move = balancer.improve();
        if (!move)
            break;
        moves.push_back(*move);
    }
    return moves;
}

// One layer on its way to the new map.
struct LayerPlan
{
    LayerPlacement m_placement;
    NewExperts m_new;
    std::vector<PlacementMove> m_moves;
    std::size_t m_taken = 0;
};

// Takes a layer's next move if no rank would load more than the limits allow.
bool takeNext(LayerPlan &plan, const LayerPlacement &current, const MapChangeLimits &limits,
              NewExperts &newInAll)
{
    if (plan.m_taken == plan.m_moves.size())
        return false;
    LayerPlacement next = plan.m_placement;
    applyMove(next, plan.m_moves[plan.m_taken]);
    const NewExperts added = newExperts(current, next, limits.m_shape.m_ranks);
    for (std::size_t rank = 0; rank < added.size(); ++rank) {
        const std::size_t inAll = newInAll[rank] - plan.m_new[rank] + added[rank];
        if (added[rank] > limits.m_newPerRank
            || (added[rank] > plan.m_new[rank] && inAll > limits.m_newPerRankInAll))
            return false;
    }
    for (std::size_t rank = 0; rank < added.size(); ++rank)
        newInAll[rank] += added[rank] - plan.m_new[rank];
    plan.m_placement = std::move(next);
    plan.m_new = added;
    ++plan.m_taken;
    return true;
}

} // namespace

std::optional<ExpertMap> planMapChange(const ExpertMap &current, const GroupLoads &loads,
                                       const MapChangeLimits &limits)
{
    std::vector<LayerPlan> plans;
    for (std::size_t layer = 0; layer < current.m_layers.size(); ++layer)
        plans.push_back({current.m_layers[layer], NewExperts(limits.m_shape.m_ranks, 0),
                         movesOf(current.m_layers[layer], loads.m_layers[layer], limits), 0});
    NewExperts newInAll(limits.m_shape.m_ranks, 0);
    // The layers in turn, since the first moves of each take off most.
    for (bool isMoving = true; isMoving;) {
        isMoving = false;
        for (std::size_t layer = 0; layer < plans.size(); ++layer)
            isMoving |= takeNext(plans[layer], current.m_layers[layer], limits, newInAll);
    }
    ExpertMap planned = current;
    for (std::size_t layer = 0; layer < plans.size(); ++layer)
        planned.m_layers[layer] = std::move(plans[layer].m_placement);
    const double before = skewOf(current, loads, limits.m_shape);
    const double after = skewOf(planned, loads, limits.m_shape);
    if (before - after < limits.m_leastGain)
        return std::nullopt;
    return planned;
}

} // namespace burdockhead
