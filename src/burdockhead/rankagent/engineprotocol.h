#pragma once

#include <burdockhead/expertmap/expertmap.h>
#include <burdockhead/rankagent/rankorder.h>
#include <burdockhead/rankagent/rankview.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// How often a rank's requests chose each expert since the rank started, layer after layer.
struct ExpertCounts
{
    std::uint64_t m_epoch = 0;
    std::vector<std::uint64_t> m_counts;

    friend bool operator==(const ExpertCounts &, const ExpertCounts &) = default;
};

// The experts that a rank holds, by layer.
struct RankExperts
{
    std::uint64_t m_version = 0;
    std::vector<std::vector<std::uint32_t>> m_layers;

    friend bool operator==(const RankExperts &, const RankExperts &) = default;
};

// How a rank of an engine is asked and told things over HTTP.
class EngineProtocol
{
public:
    virtual ~EngineProtocol() = default;

    virtual std::string viewTarget() const = 0;
    virtual std::string countsTarget() const = 0;
    virtual std::string expertsTarget() const = 0;
    virtual std::string orderTarget() const = 0;

    // The answers; none when they can't be read or the endpoint is no rank of a group.
    virtual std::optional<RankView> readView(const std::string &body) const = 0;
    virtual std::optional<ExpertCounts> readCounts(const std::string &body) const = 0;
    virtual std::optional<RankExperts> readExperts(const std::string &body) const = 0;

    // The body of an order; Prepare needs the map, for a group of so many ranks.
    virtual std::string writeOrder(const RankOrder &order, const ExpertMap *map,
                                   std::size_t ranks) const = 0;
};

} // namespace burdockhead
