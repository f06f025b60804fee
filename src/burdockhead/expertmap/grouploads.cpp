#include <burdockhead/expertmap/grouploads.h>

#include <algorithm>
#include <numeric>
#include <queue>
#include <utility>

namespace burdockhead {

namespace {

bool isLayerWithinSlots(const LayerPlacement &placement, const GroupShape &shape)
{
    std::vector<std::size_t> expertCounts(shape.m_rankCount, 0);
    for (const ExpertReplicas &replicas : placement) {
        if (replicas.empty() || replicas.back() >= shape.m_rankCount)
            return false;
        for (const std::uint16_t rank : replicas)
            ++expertCounts[rank];
    }
    return *std::max_element(expertCounts.begin(), expertCounts.end()) <= shape.m_slotsPerRank;
}

double meanRankLoad(const LayerLoads &loads, std::size_t rankCount)
{
    return std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(rankCount);
}

double maxReplicaLoad(const LayerLoads &loads, const std::vector<std::size_t> &counts)
{
    double maxLoad = 0;
    for (std::size_t expert = 0; expert < loads.size(); ++expert)
        maxLoad = std::max(maxLoad, loads[expert] / static_cast<double>(counts[expert]));
    return maxLoad;
}

} // namespace

std::vector<double> rankLoads(const LayerPlacement &placement, const LayerLoads &loads,
                              std::size_t rankCount)
{
    std::vector<double> result(rankCount, 0.0);
    for (std::size_t expert = 0; expert < placement.size(); ++expert) {
        const double replicaLoad = loads[expert] / static_cast<double>(placement[expert].size());
        for (const std::uint16_t rank : placement[expert])
            result[rank] += replicaLoad;
    }
    return result;
}

std::vector<double> rankTimes(const LayerPlacement &placement, const LayerLoads &loads,
                              const GroupShape &shape)
{
    std::vector<double> times = rankLoads(placement, loads, shape.m_rankCount);
    for (std::size_t rank = 0; rank < shape.m_slowdownByRank.size(); ++rank)
        times[rank] *= shape.m_slowdownByRank[rank];
    return times;
}

double skewOf(const ExpertMap &map, const GroupLoads &loads, std::size_t rankCount)
{
    return skewOf(map, loads, GroupShape{rankCount, 0});
}

double skewOf(const ExpertMap &map, const GroupLoads &loads, const GroupShape &shape)
{
    double maxLoad = 0;
    double mean = 0;
    for (std::size_t layer = 0; layer < map.m_layers.size(); ++layer) {
        const auto times = rankTimes(map.m_layers[layer], loads.m_layers[layer], shape);
        maxLoad += *std::max_element(times.begin(), times.end());
        mean += meanRankLoad(loads.m_layers[layer], shape.m_rankCount);
    }
    return mean > 0 ? maxLoad / mean : 1;
}

double skewLowerBound(const GroupLoads &loads, const GroupShape &shape)
{
    double maxLoad = 0;
    double mean = 0;
    for (const LayerLoads &layer : loads.m_layers) {
        const double layerMean = meanRankLoad(layer, shape.m_rankCount);
        maxLoad += std::max(layerMean, maxReplicaLoad(layer, replicaCounts(layer, shape)));
        mean += layerMean;
    }
    return mean > 0 ? maxLoad / mean : 1;
}

std::vector<std::size_t> replicaCounts(const LayerLoads &loads, const GroupShape &shape)
{
    std::vector<std::size_t> counts(loads.size(), 1);
    std::priority_queue<std::pair<double, std::size_t>> replicaLoads;
    for (std::size_t expert = 0; expert < loads.size(); ++expert)
        replicaLoads.emplace(loads[expert], expert);
    const std::size_t slots = shape.m_rankCount * shape.m_slotsPerRank;
    for (std::size_t usedSlots = loads.size(); usedSlots < slots && !replicaLoads.empty();) {
        const std::size_t expert = replicaLoads.top().second;
        replicaLoads.pop();
        if (counts[expert] == shape.m_rankCount)
            continue;
        ++counts[expert];
        ++usedSlots;
        replicaLoads.emplace(loads[expert] / static_cast<double>(counts[expert]), expert);
    }
    return counts;
}

bool fits(const ExpertMap &map, const GroupShape &shape)
{
    return std::all_of(map.m_layers.begin(), map.m_layers.end(),
                       [&shape](const auto &layer) { return isLayerWithinSlots(layer, shape); });
}

} // namespace burdockhead
