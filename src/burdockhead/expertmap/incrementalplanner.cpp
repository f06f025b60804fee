#include <burdockhead/expertmap/incrementalplanner.h>
#include <burdockhead/expertmap/layerbalancer.h>

#include <algorithm>
#include <numeric>
#include <optional>

namespace burdockhead {

namespace {

constexpr std::size_t maxMovesPerLayer = 512;

// Candidate moves of a layer in order, with their cumulative costs and gains.
struct LayerMoves
{
    std::vector<PlacementMove> m_moves;
    std::vector<std::size_t> m_expertsToLoad; // Cumulative number of experts to load.
    std::vector<double> m_gains;              // Cumulative reduction of the maximum rank load.
    std::size_t m_selected = 0;

    std::size_t expertsToLoadUpTo(std::size_t count) const
    {
        return count == 0 ? 0 : m_expertsToLoad[count - 1];
    }
    double gainUpTo(std::size_t count) const { return count == 0 ? 0.0 : m_gains[count - 1]; }
};

// The next moves of a layer with the highest gain per expert to load.
struct Batch
{
    std::size_t m_layer = 0;
    std::size_t m_count = 0; // Moves of the layer, including those selected before.
    std::size_t m_expertsToLoad = 0;
    double m_gain = 0;

    double gainPerExpert() const
    {
        return m_gain / std::max(0.5, static_cast<double>(m_expertsToLoad));
    }
};

LayerMoves candidateMoves(const LayerPlacement &placement, const LayerLoads &loads,
                          const GroupShape &shape, double tolerance)
{
    LayerMoves result;
    LayerBalancer balancer(placement, loads, shape);
    const double initialLoad = balancer.maxRankLoad();
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    const double targetLoad = (1 + tolerance) * total / static_cast<double>(shape.m_rankCount);
    std::size_t expertsToLoad = 0;
    while (balancer.maxRankLoad() > targetLoad && result.m_moves.size() < maxMovesPerLayer) {
        const auto move = balancer.applyBestMove();
        if (!move)
            break;
        expertsToLoad += move->expertsToLoad();
        result.m_moves.push_back(*move);
        result.m_expertsToLoad.push_back(expertsToLoad);
        result.m_gains.push_back(initialLoad - balancer.maxRankLoad());
    }
    return result;
}

std::optional<Batch> bestBatchOfLayer(const LayerMoves &moves, std::size_t layer)
{
    std::optional<Batch> best;
    for (std::size_t count = moves.m_selected + 1; count <= moves.m_moves.size(); ++count) {
        const Batch batch{layer, count,
                          moves.expertsToLoadUpTo(count)
                              - moves.expertsToLoadUpTo(moves.m_selected),
                          moves.gainUpTo(count) - moves.gainUpTo(moves.m_selected)};
        if (batch.m_gain > 0 && (!best || batch.gainPerExpert() > best->gainPerExpert()))
            best = batch;
    }
    return best;
}

std::optional<Batch> bestBatch(const std::vector<LayerMoves> &layers)
{
    std::optional<Batch> best;
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        const auto batch = bestBatchOfLayer(layers[layer], layer);
        if (batch && (!best || batch->gainPerExpert() > best->gainPerExpert()))
            best = batch;
    }
    return best;
}

double meanRankLoad(const GroupLoads &loads, std::size_t ranks)
{
    double total = 0;
    for (const LayerLoads &layer : loads.m_layers)
        total = std::accumulate(layer.begin(), layer.end(), total);
    return total / static_cast<double>(ranks);
}

ExpertMap applySelectedMoves(ExpertMap map, const std::vector<LayerMoves> &layers)
{
    for (std::size_t layer = 0; layer < layers.size(); ++layer) {
        for (std::size_t index = 0; index < layers[layer].m_selected; ++index)
            applyMove(map.m_layers[layer], layers[layer].m_moves[index]);
    }
    return map;
}

} // namespace

double IncrementalPlanner::netGain(std::size_t expertCount, double skewReduction) const
{
    const double loadingSeconds = static_cast<double>(expertCount) * m_options.m_secondsPerExpert;
    const double payoffSeconds = std::max(0.0, m_options.m_horizonSeconds - loadingSeconds);
    return payoffSeconds * skewReduction * m_options.m_expertTimeShare
           - loadingSeconds * m_options.m_loadingSlowdown;
}

ExpertMap IncrementalPlanner::plan(const ExpertMap &current, const GroupLoads &loads) const
{
    const double mean = meanRankLoad(loads, m_shape.m_rankCount);
    if (mean <= 0)
        return current;
    std::vector<LayerMoves> layers;
    for (std::size_t layer = 0; layer < current.m_layers.size(); ++layer)
        layers.push_back(candidateMoves(current.m_layers[layer], loads.m_layers[layer], m_shape,
                                        m_options.m_skewTolerance));
    std::size_t expertsToLoad = 0;
    double gain = 0;
    while (const auto batch = bestBatch(layers)) {
        const double before = netGain(expertsToLoad, gain / mean);
        const double after =
            netGain(expertsToLoad + batch->m_expertsToLoad, (gain + batch->m_gain) / mean);
        if (after <= before
            || expertsToLoad + batch->m_expertsToLoad > m_options.m_maxExpertsToLoad)
            break;
        expertsToLoad += batch->m_expertsToLoad;
        gain += batch->m_gain;
        layers[batch->m_layer].m_selected = batch->m_count;
    }
    return applySelectedMoves(current, layers);
}

} // namespace burdockhead
