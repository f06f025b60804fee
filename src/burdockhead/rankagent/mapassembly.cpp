#include <burdockhead/rankagent/mapassembly.h>

#include <algorithm>

namespace burdockhead {

namespace {

bool hasEveryExpert(const ExpertMap &map)
{
    return std::all_of(map.m_layers.begin(), map.m_layers.end(), [](const LayerPlacement &layer) {
        return std::none_of(layer.begin(), layer.end(),
                            [](const ExpertReplicas &replicas) { return replicas.empty(); });
    });
}

} // namespace

std::optional<ExpertMap> assembleMap(const RankStatuses &ranks, const ExpertShape &shape)
{
    if (ranks.empty() || ranks.size() != ranks.begin()->second.m_snapshot.m_rankCount)
        return std::nullopt;
    ExpertMap map;
    map.m_version = ranks.begin()->second.m_snapshot.m_mapVersion;
    map.m_layers.assign(shape.m_layers, LayerPlacement(shape.m_experts));
    for (const auto &[rank, status] : ranks) {
        const RankExperts &rankExperts = status.m_experts;
        if (status.m_snapshot.m_mapVersion != map.m_version
            || rankExperts.m_version != map.m_version
            || rankExperts.m_layers.size() != shape.m_layers)
            return std::nullopt;
        for (std::size_t layer = 0; layer < rankExperts.m_layers.size(); ++layer) {
            for (const std::uint32_t expert : rankExperts.m_layers[layer]) {
                if (expert >= shape.m_experts)
                    return std::nullopt;
                map.m_layers[layer][expert].push_back(static_cast<std::uint16_t>(rank));
            }
        }
    }
    return hasEveryExpert(map) ? std::optional(std::move(map)) : std::nullopt;
}

} // namespace burdockhead
