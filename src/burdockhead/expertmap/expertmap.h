#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Ranks that hold a replica of one expert, in ascending order.
using ExpertReplicas = std::vector<std::uint16_t>;

// Replicas of each expert of one layer, indexed by expert.
using LayerPlacement = std::vector<ExpertReplicas>;

// Assignment of experts to the ranks of a group, for each layer. Maps are values: a change creates
// a new map with a higher version.
struct ExpertMap
{
    std::uint64_t m_version = 0;
    std::vector<LayerPlacement> m_layers;

    // Serializes the map, and parses it. Parsing fails if the bytes are malformed, an expert has no
    // replica, or its ranks are not in ascending order.
    std::string encode() const;
    static std::optional<ExpertMap> decode(std::string_view bytes);

    // Returns a map that assigns experts to ranks in round-robin order. Slots left over hold
    // further replicas in the same order.
    static ExpertMap roundRobin(std::size_t layers, std::size_t experts, std::size_t ranks,
                                std::size_t slotsPerRank);

    friend bool operator==(const ExpertMap &, const ExpertMap &) = default;
};

// Returns the number of expert replicas that ranks have to load to change between the maps.
std::size_t countExpertsToLoad(const ExpertMap &from, const ExpertMap &to);

} // namespace burdockhead
