#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/engineprotocol.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// What an agent tells the coordinator about its rank. The counts are those since it last told
// any; they are empty unless they were asked for.
struct RankStatus
{
    RankView m_view;
    ExpertCounts m_counts;
    RankExperts m_experts;
    Milliseconds m_sinceFirstAsked{0}; // Since the agent beside rank 0 last asked, or the start.

    friend bool operator==(const RankStatus &, const RankStatus &) = default;
};

// An agent to which a message is passed on, with the rank that it is for.
struct ForwardedRank
{
    std::uint32_t m_rank = 0;
    SocketAddress m_agent;

    friend bool operator==(const ForwardedRank &, const ForwardedRank &) = default;
};

// What the coordinator tells an agent to tell its rank, and other agents theirs: a map is large
// against the link of one VM in a large group.
struct RankOrderMessage
{
    RankOrder m_order;
    std::uint32_t m_ranks = 0;      // Of the group.
    std::optional<ExpertMap> m_map; // For Prepare.
    std::vector<ForwardedRank> m_forwardTo;

    friend bool operator==(const RankOrderMessage &, const RankOrderMessage &) = default;
};

// The bodies of messages between agents; reading gives none on any other bytes.
std::string writeRankStatus(const RankStatus &status);
std::optional<RankStatus> readRankStatus(std::string_view message);
std::string writeRankOrder(const RankOrderMessage &message);
std::optional<RankOrderMessage> readRankOrder(std::string_view message);

} // namespace burdockhead
