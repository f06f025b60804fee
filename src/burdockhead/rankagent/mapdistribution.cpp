#include <burdockhead/rankagent/mapdistribution.h>

namespace burdockhead {

namespace {

// Maximum orders with a map that the coordinator sends itself.
constexpr std::size_t maxMapOrders = 8;
// Orders to prepare are repeated after this; loading takes up to about a second.
constexpr Milliseconds retryInterval{600};

} // namespace

std::vector<RankOrderMessage> MapDistribution::messages(const std::vector<Recipient> &recipients,
                                                        std::uint32_t rankCount,
                                                        const ExpertMap &map, TimePoint now)
{
    std::vector<RankOrderMessage> messages;
    for (const Recipient &recipient : recipients) {
        const std::uint32_t rank = recipient.m_order.m_rank;
        TimePoint &retryAt = m_retryAt[rank];
        if (now < retryAt)
            continue;
        retryAt = now + retryInterval;
        if (messages.size() < maxMapOrders || recipient.m_isUnresponsive)
            messages.push_back({recipient.m_order, rankCount, map, {}});
        else
            messages[rank % messages.size()].m_forwardTo.push_back({rank, recipient.m_agent});
    }
    return messages;
}

} // namespace burdockhead
