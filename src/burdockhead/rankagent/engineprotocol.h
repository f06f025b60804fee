#pragma once

#include <burdockhead/expertmap/expertmap.h>
#include <burdockhead/rankagent/rankorder.h>
#include <burdockhead/rankagent/ranksnapshot.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// Number of times that a rank's requests chose each expert since the rank started, layer by layer.
struct ExpertCounts
{
    std::uint64_t m_epoch = 0;
    std::vector<std::uint64_t> m_counts;

    friend bool operator==(const ExpertCounts &, const ExpertCounts &) = default;
};

// Experts that a rank holds, by layer.
struct RankExperts
{
    std::uint64_t m_version = 0;
    std::vector<std::vector<std::uint32_t>> m_layers;

    friend bool operator==(const RankExperts &, const RankExperts &) = default;
};

// HTTP targets and message bodies of an engine's ranks.
class EngineProtocol
{
public:
    virtual ~EngineProtocol() = default;

    virtual std::string snapshotTarget() const = 0;
    virtual std::string countsTarget() const = 0;
    virtual std::string expertsTarget() const = 0;
    virtual std::string orderTarget() const = 0;

    // Parse response bodies; none when a body is malformed or the endpoint is no rank of a group.
    virtual std::optional<RankSnapshot> readSnapshot(const std::string &body) const = 0;
    virtual std::optional<ExpertCounts> readCounts(const std::string &body) const = 0;
    virtual std::optional<RankExperts> readExperts(const std::string &body) const = 0;

    // Returns the body of an order. Prepare needs the map and the number of ranks in the group.
    virtual std::string writeOrder(const RankOrder &order, const ExpertMap *map,
                                   std::size_t ranks) const = 0;
};

} // namespace burdockhead
