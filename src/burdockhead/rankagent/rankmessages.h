#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/engineprotocol.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhead {

// Status of a rank that its agent reports to the coordinator. The counts are those since the
// previous report of counts; they are empty unless requested.
struct RankStatus
{
    RankSnapshot m_snapshot;
    ExpertCounts m_counts;
    RankExperts m_experts;
    // Since the agent beside rank 0 last polled, or since the start.
    Milliseconds m_sinceRank0Poll{0};

    friend bool operator==(const RankStatus &, const RankStatus &) = default;
};

// Agent to which an order is forwarded, with its rank.
struct ForwardTarget
{
    std::uint32_t m_rank = 0;
    SocketAddress m_agent;

    friend bool operator==(const ForwardTarget &, const ForwardTarget &) = default;
};

// Order to an agent for its rank, with the agents that it forwards the order to. A map is large
// relative to the link of one VM in a large group, so the agents distribute it.
struct RankOrderMessage
{
    RankOrder m_order;
    std::uint32_t m_rankCount = 0;  // Ranks of the group.
    std::optional<ExpertMap> m_map; // For Prepare.
    std::vector<ForwardTarget> m_forwardTo;

    friend bool operator==(const RankOrderMessage &, const RankOrderMessage &) = default;
};

// Bodies of messages between agents. The readers return none for malformed bytes.
std::string writeRankStatus(const RankStatus &status);
std::optional<RankStatus> readRankStatus(std::string_view message);
std::string writeRankOrder(const RankOrderMessage &message);
std::optional<RankOrderMessage> readRankOrder(std::string_view message);

} // namespace burdockhead
