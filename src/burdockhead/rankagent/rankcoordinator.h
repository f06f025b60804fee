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
#include <burdockhead/rankagent/ranksampler.h>
#include <burdockhead/rankagent/relayselector.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace burdockhead {

class ShortCall;

// What the coordinator of a group uses.
struct CoordinatorDependencies
{
    EventLoop &m_loop;
    HttpClientPool &m_client;
    const EngineProtocol &m_dialect;
    LineSink &m_lines;
    Metrics &m_metrics;
    std::vector<SocketAddress> m_gateways; // Some that pass orders on.
};

// Where a rank is asked and told things: by its agent, or at its engine while the agent is
// silent.
struct RankAddresses
{
    SocketAddress m_agent;
    SocketAddress m_engine;

    friend auto operator<=>(const RankAddresses &, const RankAddresses &) = default;
};

// Evens out a group's load by changing its expert map. Runs in the agent beside rank 0, so that
// the order to hold the group doesn't cross the network, or, while that one is silent, in a
// deputy. Two that run at a time do no harm, see MapRollout.
class RankCoordinator
{
public:
    RankCoordinator(const CoordinatorDependencies &parts, Random seed);
    ~RankCoordinator();
    RankCoordinator(const RankCoordinator &) = delete;
    RankCoordinator &operator=(const RankCoordinator &) = delete;

    // Where the service's endpoints are asked. Returns whether that differs from before.
    bool setAccess(std::vector<RankAddresses> access);
    void setShape(const std::optional<ExpertShape> &shape);

    // Begins to coordinate a group from a rank's agent, or ends it.
    void setGroup(const std::optional<std::string> &group, std::uint32_t ownRank);

    // A map that some coordinator has had ranks prepare.
    void noteMap(const ExpertMap &map);

private:
    struct Plan
    {
        ExpertMap m_map;
        std::uint64_t m_epoch = 0;
    };

    void scheduleRound(Milliseconds pause);
    void startRound();
    void ask(const RankAddresses &access, bool hasCounts);
    void askEngine(const RankAddresses &access);
    void answered(const RankAddresses &access, const ShortCall &call);
    void engineAnswered(const RankAddresses &access, const ShortCall &call);
    void noteSilent(const SocketAddress &address, const ShortCall &call);
    void oneLessUnanswered();
    void endRound();
    std::vector<RankView> views() const;
    std::string missingRanks() const;
    std::optional<ExpertMap> mapInUse() const;
    std::optional<ExpertMap> newestMap() const;
    // Ranks that answered in the last full round, and those of them whose counts are read.
    std::vector<std::uint32_t> knownRanks() const;
    std::vector<std::uint32_t> countedRanks() const;
    std::vector<RankAddresses> accessOf(const std::vector<std::uint32_t> &ranks) const;
    bool isMakingSteps();
    void decide();
    void makePlan(const std::vector<RankView> &views, bool isForced);
    void give(const std::vector<RankOrder> &orders);
    void give(const RankOrderMessage &message, TimePoint deadline);
    bool giveByRelay(const RankOrderMessage &message);
    static bool canAwait(const RolloutStep &step);
    void orderAnswered(const RankOrder &order, int status);
    bool hasFirstOrItIsSilent() const;
    bool isDirect(const RankOrder &order) const;
    bool isSilent(std::uint32_t rank) const;

    CoordinatorDependencies m_parts;
    Random m_random;
    std::vector<RankAddresses> m_access;
    std::map<SocketAddress, TimePoint> m_silentUntil; // Agents and engines that didn't answer.
    std::uint32_t m_ownRank = 0;
    std::map<std::uint64_t, ExpertMap> m_maps; // By version; the one in use and later ones.
    std::optional<ExpertShape> m_shape;
    std::optional<std::string> m_group;
    std::optional<ExpertDemand> m_demand;
    RankSampler m_countSample;
    MapRollout m_rollout;
    RelaySelector m_relays;
    std::optional<Plan> m_plan;
    std::map<std::uint32_t, RankStatus> m_ranks;         // Of the last full round.
    std::map<std::uint32_t, RankAddresses> m_rankAccess; // Of the last full round.
    std::uint64_t m_viewsFrom = 0; // When the last full round began, as bootMilliseconds().
    bool m_isFullRound = true;     // All ranks are asked, not only those whose counts are read.
    TimePoint m_nextFullRoundAt;
    std::vector<std::unique_ptr<ShortCall>> m_asking;
    std::vector<std::unique_ptr<ShortCall>> m_ordering;
    std::map<std::uint32_t, TimePoint> m_prepareAgainAt;
    std::size_t m_unanswered = 0;
    TimerId m_timer = 0;
    TimePoint m_nextPlanAt;
    bool m_isHolding = false;    // The last round's orders hold the group or let it go.
    bool m_awaitsOrders = false; // The next orders follow from the answers to the last ones.
    std::size_t m_awaitedOrders = 0;
    bool m_hasFailedOrder = false;
    std::uint64_t m_lastStep = 0;
};

} // namespace burdockhead
