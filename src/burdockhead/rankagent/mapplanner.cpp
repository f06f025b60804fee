#include <burdockhead/expertmap/layerbalancer.h>
#include <burdockhead/rankagent/mapplanner.h>

#include <algorithm>
#include <numeric>

namespace burdockhead {

namespace {

// Bounds the planning work per layer; a change rarely allows more moves.
constexpr std::size_t maxMoves = 128;
// Share of the skew above 1, the skew of an even load, that a plan must remove to be kept.
constexpr double minShareOfExcessSkew = 0.3;

// Number of experts to load, by rank.
using NewExpertCounts = std::vector<std::ptrdiff_t>;

// Returns a layer's moves that are worth the loads they cause, in the order of application.
std::vector<PlacementMove> planLayerMoves(const LayerPlacement &current, const LayerLoads &loads,
                                          const MapChangeLimits &limits)
{
    std::vector<PlacementMove> moves;
    const double mean = std::accumulate(loads.begin(), loads.end(), 0.0)
                        / static_cast<double>(limits.m_shape.m_rankCount);
    LayerBalancer balancer(current, loads, limits.m_shape);
    while (moves.size() < maxMoves
           && balancer.maxRankLoad() > (1 + limits.m_skewTolerance) * mean) {
        const auto move = balancer.applyBestMove();
        if (!move)
            break;
        moves.push_back(*move);
    }
    return moves;
}

// Planning state of one layer.
struct LayerPlan
{
    LayerPlacement m_placement;
    NewExpertCounts m_newByRank;
    std::vector<PlacementMove> m_moves;
    std::size_t m_applied = 0;
};

// Adds the experts that a move makes new to ranks; a sign of -1 subtracts them.
void addNewExperts(LayerPlan &plan, const PlacementMove &move, const LayerPlacement &current,
                   NewExpertCounts &newInAllLayers, int sign)
{
    for (const ReplicaChange &change : move.m_changes) {
        const ExpertReplicas &currentReplicas = current[change.m_expert];
        if (std::binary_search(currentReplicas.begin(), currentReplicas.end(), change.m_rank))
            continue;
        const int delta = change.m_isAdded ? sign : -sign;
        plan.m_newByRank[change.m_rank] += delta;
        newInAllLayers[change.m_rank] += delta;
    }
}

// Applies a layer's next move unless a rank would then load more than the limits allow, or more
// than `maxLoadsPerRank` in all layers.
bool applyNextMove(LayerPlan &plan, const LayerPlacement &current, const MapChangeLimits &limits,
                   std::size_t maxLoadsPerRank, NewExpertCounts &newInAllLayers)
{
    if (plan.m_applied == plan.m_moves.size())
        return false;
    const PlacementMove &move = plan.m_moves[plan.m_applied];
    addNewExperts(plan, move, current, newInAllLayers, 1);
    const auto exceedsLimit = [&](const ReplicaChange &change) {
        const std::size_t rank = change.m_rank;
        return plan.m_newByRank[rank] > static_cast<std::ptrdiff_t>(limits.m_maxLoadsPerLayer)
               || (change.m_isAdded
                   && newInAllLayers[rank] > static_cast<std::ptrdiff_t>(maxLoadsPerRank));
    };
    if (std::any_of(move.m_changes.begin(), move.m_changes.end(), exceedsLimit)) {
        addNewExperts(plan, move, current, newInAllLayers, -1);
        return false;
    }
    applyMove(plan.m_placement, move);
    ++plan.m_applied;
    return true;
}

// Applies moves until a rank would load more than that, and returns the map.
ExpertMap applyMoves(std::vector<LayerPlan> plans, const ExpertMap &current,
                     const MapChangeLimits &limits, std::size_t maxLoadsPerRank)
{
    NewExpertCounts newInAllLayers(limits.m_shape.m_rankCount, 0);
    // Round robin over the layers, since the first moves of each remove the most skew.
    for (bool hasMoved = true; hasMoved;) {
        hasMoved = false;
        for (std::size_t layer = 0; layer < plans.size(); ++layer)
            hasMoved |= applyNextMove(plans[layer], current.m_layers[layer], limits,
                                      maxLoadsPerRank, newInAllLayers);
    }
    ExpertMap planned = current;
    for (std::size_t layer = 0; layer < plans.size(); ++layer)
        planned.m_layers[layer] = std::move(plans[layer].m_placement);
    return planned;
}

} // namespace

std::optional<ExpertMap> planMapChange(const ExpertMap &current, const GroupLoads &loads,
                                       const MapChangeLimits &limits)
{
    std::vector<LayerPlan> plans;
    for (std::size_t layer = 0; layer < current.m_layers.size(); ++layer)
        plans.push_back({current.m_layers[layer], NewExpertCounts(limits.m_shape.m_rankCount, 0),
                         planLayerMoves(current.m_layers[layer], loads.m_layers[layer], limits),
                         0});
    const double before = skewOf(current, loads, limits.m_shape);
    std::optional<ExpertMap> best;
    double bestRate = 0;
    for (std::size_t maxLoads = 1; maxLoads <= limits.m_maxLoadsPerRank; ++maxLoads) {
        ExpertMap planned = applyMoves(plans, current, limits, maxLoads);
        const double reduction = before - skewOf(planned, loads, limits.m_shape);
        const double duration = static_cast<double>(limits.m_changeTime.count())
                                + limits.m_loadMilliseconds * static_cast<double>(maxLoads);
        if (reduction < limits.m_minSkewReduction || reduction / duration <= bestRate)
            continue;
        bestRate = reduction / duration;
        best = std::move(planned);
    }
    return best;
}

bool isStillWorthwhile(const ExpertMap &planned, const ExpertMap &current, const GroupLoads &loads,
                       const GroupShape &shape)
{
    const double skew = skewOf(current, loads, shape);
    return skew - skewOf(planned, loads, shape) >= minShareOfExcessSkew * (skew - 1);
}

} // namespace burdockhead
