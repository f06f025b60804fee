#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/expertmap/expertmap.h>

#include <algorithm>
#include <iterator>

namespace burdockhead {

namespace {

constexpr std::size_t maxLayers = 1024;
constexpr std::size_t maxExperts = 4096;
constexpr std::size_t maxRanks = 4096;

ExpertReplicas readReplicas(MessageReader &reader)
{
    ExpertReplicas replicas(reader.listLength(maxRanks));
    for (std::uint16_t &rank : replicas) {
        const std::uint64_t number = reader.number();
        if (number >= maxRanks)
            reader.fail();
        rank = static_cast<std::uint16_t>(number);
    }
    const auto notAscending =
        std::adjacent_find(replicas.begin(), replicas.end(), std::greater_equal());
    if (replicas.empty() || notAscending != replicas.end())
        reader.fail();
    return replicas;
}

LayerPlacement readLayer(MessageReader &reader)
{
    LayerPlacement layer;
    for (std::size_t remaining = reader.listLength(maxExperts); remaining > 0 && reader.ok();
         --remaining)
        layer.push_back(readReplicas(reader));
    return layer;
}

std::size_t countExpertsToLoad(const LayerPlacement &from, const LayerPlacement &to)
{
    std::size_t expertCount = 0;
    for (std::size_t expert = 0; expert < to.size(); ++expert) {
        ExpertReplicas added;
        std::set_difference(to[expert].begin(), to[expert].end(), from[expert].begin(),
                            from[expert].end(), std::back_inserter(added));
        expertCount += added.size();
    }
    return expertCount;
}

} // namespace

std::string ExpertMap::encode() const
{
    MessageWriter writer;
    writer.number(m_version).number(m_layers.size());
    for (const LayerPlacement &layer : m_layers) {
        writer.number(layer.size());
        for (const ExpertReplicas &replicas : layer) {
            writer.number(replicas.size());
            for (const std::uint16_t rank : replicas)
                writer.number(rank);
        }
    }
    return writer.take();
}

std::optional<ExpertMap> ExpertMap::decode(std::string_view bytes)
{
    MessageReader reader(bytes);
    ExpertMap map;
    map.m_version = reader.number();
    for (std::size_t remaining = reader.listLength(maxLayers); remaining > 0 && reader.ok();
         --remaining)
        map.m_layers.push_back(readLayer(reader));
    if (!reader.complete())
        return std::nullopt;
    return map;
}

ExpertMap ExpertMap::roundRobin(std::size_t layers, std::size_t experts, std::size_t ranks,
                                std::size_t slotsPerRank)
{
    LayerPlacement layer(experts);
    for (std::size_t slot = 0; slot < ranks * slotsPerRank; ++slot) {
        ExpertReplicas &replicas = layer[slot % experts];
        const auto rank = static_cast<std::uint16_t>(slot % ranks);
        if (std::find(replicas.begin(), replicas.end(), rank) == replicas.end())
            replicas.push_back(rank);
    }
    for (ExpertReplicas &replicas : layer)
        std::sort(replicas.begin(), replicas.end());
    return {0, std::vector<LayerPlacement>(layers, layer)};
}

std::size_t countExpertsToLoad(const ExpertMap &from, const ExpertMap &to)
{
    std::size_t expertCount = 0;
    for (std::size_t layer = 0; layer < to.m_layers.size(); ++layer)
        expertCount += countExpertsToLoad(from.m_layers[layer], to.m_layers[layer]);
    return expertCount;
}

} // namespace burdockhead
