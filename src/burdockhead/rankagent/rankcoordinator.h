#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/gateway/gatewayconfiguration.h>
#include <burdockhead/net/httpclientpool.h>
#include <burdockhead/observe/linesink.h>
#include <burdockhead/observe/metrics.h>
#include <burdockhead/rankagent/expertdemand.h>
#include <burdockhead/rankagent/mapassembly.h>
#include <burdockhead/rankagent/mapdistribution.h>
#include <burdockhead/rankagent/mapplanner.h>
#include <burdockhead/rankagent/maprollout.h>
#include <burdockhead/rankagent/mapversionsequence.h>
#include <burdockhead/rankagent/orderreplies.h>
#include <burdockhead/rankagent/rankmessages.h>
#include <burdockhead/rankagent/ranksampler.h>
#include <burdockhead/rankagent/relayselector.h>
#include <burdockhead/rankagent/slownessreporter.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace burdockhead {

class ShortCall;

// Dependencies of a group's coordinator.
struct CoordinatorDependencies
{
    EventLoop &m_loop;
    HttpClientPool &m_client;
    const EngineProtocol &m_protocol;
    LineSink &m_log;
    Metrics &m_metrics;
    std::vector<SocketAddress> m_gateways; // Gateways that can relay orders.
};

// Addresses of a rank's agent and of its engine, which is called directly while the agent is
// unresponsive.
struct RankAddresses
{
    SocketAddress m_agent;
    SocketAddress m_engine;

    friend auto operator<=>(const RankAddresses &, const RankAddresses &) = default;
};

// Balances a group's load by changing its expert map. Runs in the agent beside rank 0 or, while
// that agent is unresponsive, in a standby: the agent of one of the next ranks. Orders the last
// rank to hold the group, so that a standby can end the hold if rank 0's VM freezes. Two
// coordinators at a time are safe, see MapRollout.
class RankCoordinator
{
public:
    RankCoordinator(const CoordinatorDependencies &dependencies, Random seed);
    ~RankCoordinator();
    RankCoordinator(const RankCoordinator &) = delete;
    RankCoordinator &operator=(const RankCoordinator &) = delete;

    // Sets the addresses of the service's endpoints. Returns whether they changed.
    bool setAddresses(std::vector<RankAddresses> addresses);
    void setShape(const std::optional<ExpertShape> &shape);

    // Starts to coordinate a group from the agent of localRank; stops without a group.
    void setGroup(const std::optional<std::string> &group, std::uint32_t localRank);

    // Whether this process has begun a change for which the group is held. Another coordinator
    // would notice the hold only with its next full round.
    bool isHoldInProgress() const { return m_group && m_isHoldInProgress; }

    // Adds a map that any coordinator has ordered ranks to prepare.
    void addKnownMap(const ExpertMap &map);

private:
    struct Plan
    {
        ExpertMap m_map;
        std::uint64_t m_epoch = 0;
        // When the plan is dropped although no rank reports a higher version; none until a rank
        // refuses to prepare it.
        std::optional<TimePoint> m_dropAt = {};
    };

    void scheduleRound(Milliseconds pause);
    void startRound();
    void pollAgent(const RankAddresses &addresses, bool needsCounts);
    void pollEngine(const RankAddresses &addresses);
    void onAgentReply(const RankAddresses &addresses, const ShortCall &call);
    void onEngineReply(const RankAddresses &addresses, const ShortCall &call);
    void markUnresponsive(const SocketAddress &address, const ShortCall &call);
    void finishPoll();
    void endRound();
    std::vector<RankSnapshot> snapshots() const;
    std::string missingRanks() const;
    std::optional<ExpertMap> activeMap() const;
    std::optional<ExpertMap> newestKnownMap() const;
    // Ranks that replied in the last full round, and those of them whose counts are read.
    std::vector<std::uint32_t> knownRanks() const;
    std::vector<std::uint32_t> sampledRanks() const;
    std::vector<RankAddresses> addressesOf(const std::vector<std::uint32_t> &ranks) const;
    bool updateLatestStep();
    void decide();
    MapChangeLimits changeLimits(const std::vector<RankSnapshot> &snapshots) const;
    void dropObsoletePlan();
    void dropRefusedPlan(const std::vector<RankSnapshot> &snapshots);
    void makePlan(const std::vector<RankSnapshot> &snapshots, bool isForced);
    void send(const std::vector<RankOrder> &orders);
    void send(const RankOrderMessage &message, TimePoint deadline);
    bool sendByRelay(const RankOrderMessage &message);
    bool reportSlowRanks();
    static bool canAwaitReplies(const RolloutDecision &decision);
    void onPrepareRefused(std::uint64_t version);
    void onOrderReply(std::uint64_t round, const RankOrder &order, int status);
    void confirmHold(std::uint32_t rank);
    void onHoldRead(std::uint32_t rank, TimePoint armAt, const ShortCall &call);
    void scheduleDecision(TimePoint at);
    bool isRank0PresentOrUnresponsive() const;
    bool isSentToEngine(const RankOrder &order) const;
    bool isUnresponsive(std::uint32_t rank) const;

    CoordinatorDependencies m_dependencies;
    Random m_random;
    std::vector<RankAddresses> m_addresses;
    std::map<SocketAddress, TimePoint> m_unresponsiveUntil; // Agents and engines that didn't reply.
    std::uint32_t m_localRank = 0;
    std::map<std::uint64_t, ExpertMap> m_knownMaps; // By version: the active one and later ones.
    std::optional<ExpertShape> m_shape;
    std::optional<std::string> m_group;
    std::optional<ExpertDemand> m_demand;
    RankSampler m_rankSampler;
    MapRollout m_rollout;
    MapVersionSequence m_versions;
    RelaySelector m_relaySelector;
    MapDistribution m_mapDistribution;
    SlownessReporter m_slownessReporter;
    std::optional<Plan> m_plan;
    RankStatuses m_ranks;                                   // Of the last full round.
    std::map<std::uint32_t, RankAddresses> m_rankAddresses; // Of the last full round.
    std::uint64_t m_snapshotsReadAt = 0; // Start of the last full round, by bootMilliseconds().
    bool m_isFullRound = true;           // All ranks are polled, not only the sampled ones.
    TimePoint m_nextFullRoundAt;
    std::vector<std::unique_ptr<ShortCall>> m_polls;
    std::vector<std::unique_ptr<ShortCall>> m_orderCalls;
    std::size_t m_pendingPolls = 0;
    TimerId m_timer = 0;
    TimePoint m_nextPlanAt;
    bool m_isHoldInProgress = false; // As of the last decision.
    OrderReplies m_orderReplies;     // The next orders follow from the replies to the last ones.
    std::uint64_t m_orderRound = 0;  // Number of the last decision.
    std::uint64_t m_latestStep = 0;
};

} // namespace burdockhead
