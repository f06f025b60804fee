#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/gateway/gatewayconfiguration.h>
#include <burdockhead/net/httpclientpool.h>
#include <burdockhead/observe/linesink.h>
#include <burdockhead/observe/metrics.h>
#include <burdockhead/rankagent/expertdemand.h>
#include <burdockhead/rankagent/maprollout.h>
#include <burdockhead/rankagent/rankmessages.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace burdockhead {

class AgentCall;

// What the coordinator of a group uses.
struct CoordinatorParts
{
    EventLoop &m_loop;
    HttpClientPool &m_client;
    LineSink &m_lines;
    Metrics &m_metrics;
};

// Evens out a group's load by changing its expert map. Runs in the agent beside rank 0 only,
// so there is one for each group, and the order to hold the group never crosses the network.
class RankCoordinator
{
public:
    RankCoordinator(const CoordinatorParts &parts, Random seed);
    ~RankCoordinator();
    RankCoordinator(const RankCoordinator &) = delete;
    RankCoordinator &operator=(const RankCoordinator &) = delete;

    // Where the agents of the service's endpoints are asked.
    void setAgents(std::vector<SocketAddress> agents) { m_agents = std::move(agents); }
    void setShape(const std::optional<ExpertShape> &shape);

    // Whether this agent's rank is rank 0 of a group, from its own view.
    void setGroup(const std::optional<std::string> &group);

private:
    struct Plan
    {
        ExpertMap m_map;
        std::uint64_t m_epoch = 0;
    };

    void scheduleRound(Milliseconds pause);
    void startRound();
    void answered(const AgentCall &call);
    void endRound();
    std::vector<RankView> views() const;
    std::optional<ExpertMap> mapInUse() const;
    std::vector<SocketAddress> countedAgents() const;
    bool isMakingSteps();
    void decide();
    void makePlan(const std::vector<RankView> &views, bool isForced);
    void give(const std::vector<RankOrder> &orders);
    void give(const RankOrderMessage &message, TimePoint deadline);

    CoordinatorParts m_parts;
    Random m_random;
    std::vector<SocketAddress> m_agents;
    std::optional<ExpertShape> m_shape;
    std::optional<std::string> m_group;
    std::optional<ExpertDemand> m_demand;
    MapRollout m_rollout;
    std::optional<Plan> m_plan;
    std::map<std::uint32_t, RankStatus> m_ranks;         // Of the last full round.
    std::map<std::uint32_t, SocketAddress> m_rankAgents; // Of the last full round.
    bool m_isFullRound = true; // All ranks are asked, not only those whose counts are read.
    TimePoint m_nextFullRoundAt;
    std::vector<std::unique_ptr<AgentCall>> m_asking;
    std::vector<std::unique_ptr<AgentCall>> m_ordering;
    std::map<std::uint32_t, TimePoint> m_prepareAgainAt;
    std::size_t m_unanswered = 0;
    TimerId m_timer = 0;
    TimePoint m_nextPlanAt;
    bool m_isHolding = false; // The last round's orders hold the group or let it go.
    std::uint64_t m_lastStep = 0;
};

} // namespace burdockhead
