#pragma once

#include <burdockhead/rankagent/enginedialect.h>

#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// What an agent tells the coordinator about its rank. The counts are empty unless they were
// asked for.
struct RankStatus
{
    RankView m_view;
    ExpertCounts m_counts;
    RankExperts m_experts;

    friend bool operator==(const RankStatus &, const RankStatus &) = default;
};

// The bodies of messages between agents; reading gives none on any other bytes.
std::string writeRankStatus(const RankStatus &status);
std::optional<RankStatus> readRankStatus(std::string_view message);

} // namespace burdockhead
