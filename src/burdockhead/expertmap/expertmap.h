#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// The ranks that hold a replica of one expert, in ascending order.
using ExpertReplicas = std::vector<std::uint16_t>;

// The experts of one layer, by their number.
using LayerPlacement = std::vector<ExpertReplicas>;

// Which ranks of a group hold which experts, for each layer. A value; a change makes a new
// one with a higher version.
struct ExpertMap
{
    std::uint64_t m_version = 0;
    std::vector<LayerPlacement> m_layers;

    // The map as bytes, and back; none when malformed, when an expert has no replica or when
    // its ranks are not in ascending order.
    std::string encode() const;
    static std::optional<ExpertMap> decode(std::string_view bytes);

    // Experts in turn over the ranks, without replicas; slots left over get further replicas
    // in the same turn.
    static ExpertMap roundRobin(std::size_t layers, std::size_t experts, std::size_t ranks,
                                std::size_t slotsPerRank);

    friend bool operator==(const ExpertMap &, const ExpertMap &) = default;
};

// The experts that ranks have to load to get from one map to the other.
std::size_t countExpertsToLoad(const ExpertMap &from, const ExpertMap &to);

} // namespace burdockhead
