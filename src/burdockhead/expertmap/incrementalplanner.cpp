#include <burdockhead/expertmap/incrementalplanner.h>
#include <burdockhead/expertmap/layerbalancer.h>

#include <algorithm>
#include <numeric>
#include <optional>

namespace burdockhead {

namespace {

constexpr std::size_t maxMovesPerLayer = 512;

// A layer's moves, in order, with what they reach.
struct LayerMoves
{
    std::vector<PlacementMove> m_moves;
    std::vector<std::size_t> m_loads; // Experts loaded up to and with each move.
    std::vector<double> m_gains;      // Load taken off the heaviest rank so far.
    std::size_t m_taken = 0;

    std::size_t loadsUpTo(std::size_t count) const { return count == 0 ? 0 : m_loads[count - 1]; }
    double gainUpTo(std::size_t count) const { return count == 0 ? 0.0 : m_gains[count - 1]; }
};

// The next moves of a layer that give most for each expert to load.
struct Batch
{
    std::size_t m_layer = 0;
    std::size_t m_count = 0; // Moves of the layer, with those taken before.
    std::size_t m_loads = 0;
    double m_gain = 0;

    double ratio() const { return m_gain / std::max(0.5, static_cast<double>(m_loads)); }
};

LayerMoves movesOf(const LayerPlacement &placement, const LayerLoads &loads,
                   const GroupShape &shape, double tolerance)
{
    LayerMoves result;
    LayerBalancer balancer(placement, loads, shape);
    const double before = balancer.maxRankLoad();
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    const double goal = (1 + tolerance) * total / static_cast<double>(shape.m_rankCount);
    std::size_t loaded = 0;
    while (balancer.maxRankLoad() > goal && result.m_moves.size() < maxMovesPerLayer) {
        const auto move = balancer.applyBestMove();
        if (!move)
            break;
        loaded += move->expertsToLoad();
        result.m_moves.push_back(*move);
        result.m_loads.push_back(loaded);
        result.m_gains.push_back(before - balancer.maxRankLoad());
    }
    return result;
}

std::optional<Batch> bestBatchOf(const LayerMoves &moves, std::size_t layer)
{
    std::optional<Batch> best;
    for (std::size_t count = moves.m_taken + 1; count <= moves.m_moves.size(); ++count) {
        const Batch batch{layer, count, moves.loadsUpTo(count) - moves.loadsUpTo(moves.m_taken),
                          moves.gainUpTo(count) - moves.gainUpTo(moves.m_taken)};
        if (batch.m_gain > 0 && (!best || batch.ratio() > best->ratio()))
            best = batch;
    }
    return best;
}

std::optional<Batch> bestBatch(const std::vector<LayerMoves> &layers)
{
    std::optional<Batch> best;
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const auto batch = bestBatchOf(layers[layer], layer);
        if (batch && (!best || batch->ratio() > best->ratio()))
            best = batch;
    }
    return best;
}

double meanLoad(const GroupLoads &loads, std::size_t ranks)
{
    double total = 0;
    for (const LayerLoads &layer : loads.m_layers)
        total = std::accumulate(layer.begin(), layer.end(), total);
    return total / static_cast<double>(ranks);
}

ExpertMap applyTaken(ExpertMap map, const std::vector<LayerMoves> &layers)
{
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        for (std::size_t index = 0; index < layers[layer].m_taken; ++index)
            applyMove(map.m_layers[layer], layers[layer].m_moves[index]);
    }
    return map;
}

} // namespace

double IncrementalPlanner::netGain(std::size_t loads, double skewReduction) const
{
    const double loading = static_cast<double>(loads) * m_costs.m_secondsPerExpert;
    const double lasting = std::max(0.0, m_costs.m_horizonSeconds - loading);
    return lasting * skewReduction * m_costs.m_expertShare - loading * m_costs.m_slowdown;
}

ExpertMap IncrementalPlanner::plan(const ExpertMap &current, const GroupLoads &loads) const
{
    const double mean = meanLoad(loads, m_shape.m_rankCount);
    if (mean <= 0)
        return current;
    std::vector<LayerMoves> layers;
    for (std::size_t layer = 0; layer < current.m_layers.size(); ++layer)
        layers.push_back(
            movesOf(current.m_layers[layer], loads.m_layers[layer], m_shape, m_costs.m_tolerance));
    std::size_t loaded = 0;
    double gain = 0;
    while (const auto batch = bestBatch(layers)) {
        const double before = netGain(loaded, gain / mean);
        const double after = netGain(loaded + batch->m_loads, (gain + batch->m_gain) / mean);
        if (after <= before || loaded + batch->m_loads > m_costs.m_maxLoads)
            break;
        loaded += batch->m_loads;
        gain += batch->m_gain;
        layers[batch->m_layer].m_taken = batch->m_count;
    }
    return applyTaken(current, layers);
}

} // namespace burdockhead
