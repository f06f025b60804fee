#pragma once

#include <burdockhead/gateway/gatewayconfiguration.h>
#include <burdockhead/rankagent/rankmessages.h>

#include <cstdint>
#include <map>
#include <optional>

namespace burdockhead {

// Statuses of a group's ranks, by rank.
using RankStatuses = std::map<std::uint32_t, RankStatus>;

// Assembles a group's active map from the experts that each rank holds. Returns none while a rank
// is missing, while the ranks are changing maps, or if an expert is on no rank.
std::optional<ExpertMap> assembleMap(const RankStatuses &ranks, const ExpertShape &shape);

} // namespace burdockhead
