#include <burdockhead/expertmap/grouploads.h>

#include <algorithm>
#include <numeric>
#include <queue>
#include <utility>

namespace burdockhead {

namespace {

bool layerFits(const LayerPlacement &placement, const GroupShape &shape)
{
    std::vector<std::size_t> held(shape.m_rankCount, 0);
    for (const ExpertReplicas &replicas : placement) {
        if (replicas.empty() || replicas.back() >= shape.m_rankCount)
            return false;
        for (const std::uint16_t rank : replicas)
            ++held[rank];
    }
    return *std::max_element(held.begin(), held.end()) <= shape.m_slotsPerRank;
}

double layerMean(const LayerLoads &loads, std::size_t ranks)
{
    return std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(ranks);
}

double heaviestShare(const LayerLoads &loads, const std::vector<std::size_t> &counts)
{
    double heaviest = 0;
    for (std::size_t expert = 0; expert < loads.size(); ++expert)
        heaviest = std::max(heaviest, loads[expert] / static_cast<double>(counts[expert]));
    return heaviest;
}

} // namespace

std::vector<double> rankLoads(const LayerPlacement &placement, const LayerLoads &loads,
                              std::size_t ranks)
{
    std::vector<double> result(ranks, 0.0);
    for (std::size_t expert = 0; expert < placement.size(); ++expert) {
        const double share = loads[expert] / static_cast<double>(placement[expert].size());
        for (const std::uint16_t rank : placement[expert])
            result[rank] += share;
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

double skewOf(const ExpertMap &map, const GroupLoads &loads, std::size_t ranks)
{
    return skewOf(map, loads, GroupShape{ranks, 0});
}

double skewOf(const ExpertMap &map, const GroupLoads &loads, const GroupShape &shape)
{
    double heaviest = 0;
    double mean = 0;
    for (std::size_t layer = 0; layer < map.m_layers.size(); ++layer) {
        const auto times = rankTimes(map.m_layers[layer], loads.m_layers[layer], shape);
        heaviest += *std::max_element(times.begin(), times.end());
        mean += layerMean(loads.m_layers[layer], shape.m_rankCount);
    }
    return mean > 0 ? heaviest / mean : 1;
}

double skewLowerBound(const GroupLoads &loads, const GroupShape &shape)
{
    double heaviest = 0;
    double mean = 0;
    for (const LayerLoads &layer : loads.m_layers) {
        const double layerLoad = layerMean(layer, shape.m_rankCount);
        heaviest += std::max(layerLoad, heaviestShare(layer, replicaCounts(layer, shape)));
        mean += layerLoad;
    }
    return mean > 0 ? heaviest / mean : 1;
}

std::vector<std::size_t> replicaCounts(const LayerLoads &loads, const GroupShape &shape)
{
    std::vector<std::size_t> counts(loads.size(), 1);
    std::priority_queue<std::pair<double, std::size_t>> shares;
    for (std::size_t expert = 0; expert < loads.size(); ++expert)
        shares.emplace(loads[expert], expert);
    const std::size_t slots = shape.m_rankCount * shape.m_slotsPerRank;
    for (std::size_t used = loads.size(); used < slots && !shares.empty();) {
        const std::size_t expert = shares.top().second;
        shares.pop();
        if (counts[expert] == shape.m_rankCount)
            continue;
        ++counts[expert];
        ++used;
        shares.emplace(loads[expert] / static_cast<double>(counts[expert]), expert);
    }
    return counts;
}

bool fits(const ExpertMap &map, const GroupShape &shape)
{
    return std::all_of(map.m_layers.begin(), map.m_layers.end(),
                       [&shape](const auto &layer) { return layerFits(layer, shape); });
}

} // namespace burdockhead
