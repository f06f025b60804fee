#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/rankmessages.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace burdockhead {

// Decides which agents a coordinator sends the map of a change to, which of them forward it to
// further ranks, and when it is sent again. A map is large relative to the link of the
// coordinator's VM, so it sends a few and their recipients the rest.
class MapDistribution
{
public:
    // An order to prepare, and how to reach the rank's agent.
    struct Recipient
    {
        RankOrder m_order;
        SocketAddress m_agent;
        bool m_isUnresponsive = false; // Its engine gets the order directly.
    };

    // Returns the messages to send now. Ranks that were sent the map a short time ago are left out,
    // since they are still loading.
    std::vector<RankOrderMessage> messages(const std::vector<Recipient> &recipients,
                                           std::uint32_t rankCount, const ExpertMap &map,
                                           TimePoint now);

    // Registers that a rank's agent or engine didn't take the order.
    void onFailed(std::uint32_t rank) { m_retryAt.erase(rank); }

    // Starts with another map.
    void reset() { m_retryAt.clear(); }

private:
    std::map<std::uint32_t, TimePoint> m_retryAt; // By rank.
};

} // namespace burdockhead
