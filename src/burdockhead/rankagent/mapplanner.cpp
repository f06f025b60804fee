#include <burdockhead/expertmap/layerbalancer.h>
#include <burdockhead/rankagent/mapplanner.h>

#include <algorithm>
#include <numeric>

namespace burdockhead {

namespace {

// Bounds the work on one layer; a change rarely allows more.
constexpr std::size_t maxMoves = 128;

// Experts that a rank has to load, by rank.
using NewExperts = std::vector<std::ptrdiff_t>;

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

// Counts the experts that a move makes new to ranks, or, with -1, takes that back.
void countNew(LayerPlan &plan, const PlacementMove &move, const LayerPlacement &current,
              NewExperts &newInAll, int sign)
{
    for (const ReplicaChange &change : move.m_changes) {
        const ExpertReplicas &held = current[change.m_expert];
        if (std::binary_search(held.begin(), held.end(), change.m_rank))
            continue;
        const int added = change.m_add ? sign : -sign;
        plan.m_new[change.m_rank] += added;
        newInAll[change.m_rank] += added;
    }
}

// Takes a layer's next move if no rank would load more than the limits allow.
bool takeNext(LayerPlan &plan, const LayerPlacement &current, const MapChangeLimits &limits,
              NewExperts &newInAll)
{
    if (plan.m_taken == plan.m_moves.size())
        return false;
    const PlacementMove &move = plan.m_moves[plan.m_taken];
    countNew(plan, move, current, newInAll, 1);
    const auto isOver = [&](const ReplicaChange &change) {
        const std::size_t rank = change.m_rank;
        return plan.m_new[rank] > static_cast<std::ptrdiff_t>(limits.m_newPerRank)
               || (change.m_add
                   && newInAll[rank] > static_cast<std::ptrdiff_t>(limits.m_newPerRankInAll));
    };
    if (std::any_of(move.m_changes.begin(), move.m_changes.end(), isOver)) {
        countNew(plan, move, current, newInAll, -1);
        return false;
    }
    applyMove(plan.m_placement, move);
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
