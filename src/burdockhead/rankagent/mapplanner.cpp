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

// The moves of one layer that are worth the loads they cause, in the order of application. They are
// found as they are needed, since a change of few loads applies few of them, and the ranks wait for
// the plan.
class LayerMoves
{
public:
    LayerMoves(const LayerPlacement &current, const LayerLoads &loads,
               const MapChangeLimits &limits)
        : m_targetLoad((1 + limits.m_skewTolerance)
                       * std::accumulate(loads.begin(), loads.end(), 0.0)
                       / static_cast<double>(limits.m_shape.m_rankCount))
        , m_balancer(current, loads, limits.m_shape)
    {}

    // Returns the move at an index; null if there are fewer.
    const PlacementMove *at(std::size_t index)
    {
        while (m_moves.size() <= index && !m_isComplete) {
            const auto move = m_moves.size() < maxMoves && m_balancer.maxRankLoad() > m_targetLoad
                                  ? m_balancer.applyBestMove()
                                  : std::nullopt;
            m_isComplete = !move;
            if (move)
                m_moves.push_back(*move);
        }
        return index < m_moves.size() ? &m_moves[index] : nullptr;
    }

private:
    double m_targetLoad; // Maximum load of a rank at which the layer needs no further move.
    LayerBalancer m_balancer;
    std::vector<PlacementMove> m_moves;
    bool m_isComplete = false;
};

// Planning state of one layer.
struct LayerPlan
{
    LayerPlacement m_placement;
    NewExpertCounts m_newByRank;
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
bool applyNextMove(LayerPlan &plan, LayerMoves &moves, const LayerPlacement &current,
                   const MapChangeLimits &limits, std::size_t maxLoadsPerRank,
                   NewExpertCounts &newInAllLayers)
{
    const PlacementMove *next = moves.at(plan.m_applied);
    if (next == nullptr)
        return false;
    const PlacementMove &move = *next;
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
ExpertMap applyMoves(std::vector<LayerMoves> &moves, const ExpertMap &current,
                     const MapChangeLimits &limits, std::size_t maxLoadsPerRank)
{
    std::vector<LayerPlan> plans;
    for (const LayerPlacement &placement : current.m_layers)
        plans.push_back({placement, NewExpertCounts(limits.m_shape.m_rankCount, 0)});
    NewExpertCounts newInAllLayers(limits.m_shape.m_rankCount, 0);
    // Round robin over the layers, since the first moves of each remove the most skew.
    for (bool hasMoved = true; hasMoved;) {
        hasMoved = false;
        for (std::size_t layer = 0; layer < plans.size(); ++layer)
            hasMoved |= applyNextMove(plans[layer], moves[layer], current.m_layers[layer], limits,
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
    std::vector<LayerMoves> moves;
    moves.reserve(current.m_layers.size());
    for (std::size_t layer = 0; layer < current.m_layers.size(); ++layer)
        moves.emplace_back(current.m_layers[layer], loads.m_layers[layer], limits);
    const double before = skewOf(current, loads, limits.m_shape);
    std::optional<ExpertMap> best;
    double bestRate = 0;
    for (std::size_t maxLoads = 1; maxLoads <= limits.m_maxLoadsPerRank; ++maxLoads) {
        ExpertMap planned = applyMoves(moves, current, limits, maxLoads);
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
