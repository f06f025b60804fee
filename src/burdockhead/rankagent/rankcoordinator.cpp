#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/observe/wallclock.h>
#include <burdockhead/rankagent/rankagentprocess.h>
#include <burdockhead/rankagent/rankcoordinator.h>
#include <burdockhead/rankagent/standbytakeover.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Pauses between rounds: while the group starts no steps, while it does, while a map is being
// loaded, and while the group is held and every message delays it. A shift of the demand shows
// within one or two rounds.
constexpr Milliseconds idlePause{150};
constexpr Milliseconds busyPause{70};
constexpr Milliseconds changePause{25};
constexpr Milliseconds holdPause{5};
// Added to the pause for each polled rank, so that large groups don't fill the link of the
// coordinator's VM.
constexpr double pausePerRankMilliseconds = 1;
// Maximum counts read per round over all ranks: about 40 KB, half of what the link of the
// coordinator's VM carries in that time. Large groups are sampled.
constexpr std::size_t maxCountsPerRound = 30000;
// How long an agent that didn't reply counts as unresponsive and its engine is polled instead.
constexpr Milliseconds unresponsiveDuration{1000};
// Keeps log lines short.
constexpr std::size_t maxMissingListed = 8;
// Maps kept by version: the active one, and those being prepared.
constexpr std::size_t maxKnownMaps = 4;
// Delay between a hold and the orders to arm. The group is held two steps ahead, so it seldom waits
// in this time. A VM that freezes with its order to hold has armed nothing yet, so that a standby
// can end the hold.
constexpr Milliseconds armDelay{30};
// Longest time between rounds that poll all ranks, which detects a hold that was left behind.
constexpr Milliseconds fullRoundInterval{700};
// Time in which a change should be loaded, since some seconds pass between two shifts, and the
// lowest limit of experts that a rank may load for it.
constexpr double loadBudgetMilliseconds = 150;
constexpr std::size_t minLoadsPerRank = 1;
// Duration of a change without its loads: polls, the hold, and arming.
constexpr Milliseconds changeTime{200};
// An agent replies within a few milliseconds on the local network.
constexpr Milliseconds statusTimeout{120};
// The VM of rank 0 counts as frozen when its agent has polled no other agent for this long. While a
// group is held it polls each of them every few milliseconds.
constexpr Milliseconds rank0Timeout{300};
constexpr Milliseconds orderTimeout{120};
// Timeout of an order sent directly to an engine.
constexpr Milliseconds directOrderTimeout{50};
// Timeout of an order through a gateway, and the status of a gateway that doesn't know the engine
// yet.
constexpr Milliseconds relayTimeout{60};
constexpr int statusEngineUnknown = 404;
// Timeout of an order with a map over a slow link.
constexpr Milliseconds mapTimeout{300};
// Pause after a plan that found no change worth its loads; the demand shows more of itself
// meanwhile.
constexpr Milliseconds planInterval{150};

// A plan is dropped if a rank has refused it and shows nothing of it for this long, and for this
// many times the load of an expert: ranks also refuse a repeated order while they load.
constexpr Milliseconds refusedPlanTimeout{2000};
constexpr double refusedPlanLoads = 4;

constexpr int statusOk = 200;
constexpr int firstFailureStatus = 400;
constexpr int statusConflict = 409;
constexpr std::uint64_t microsecondsPerMillisecond = 1000;

// Slowness factors by rank; an unknown rank counts as healthy.
std::vector<double> slownessOf(const std::vector<RankSnapshot> &snapshots)
{
    std::vector<double> slowness(snapshots.front().m_rankCount, 1);
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_rank < slowness.size())
            slowness[snapshot.m_rank] = snapshot.m_slowness;
    }
    return slowness;
}

bool hasAnyCount(const std::vector<std::uint64_t> &counts)
{
    return std::any_of(counts.begin(), counts.end(), [](std::uint64_t count) { return count > 0; });
}

} // namespace

RankCoordinator::RankCoordinator(const CoordinatorDependencies &dependencies, Random seed)
    : m_dependencies(dependencies)
    , m_random(seed)
    , m_versions(m_random())
    , m_relaySelector(dependencies.m_gateways)
{}

RankCoordinator::~RankCoordinator()
{
    m_dependencies.m_loop.cancel(m_timer);
}

bool RankCoordinator::setAddresses(std::vector<RankAddresses> addresses)
{
    const bool hasChanged = addresses != m_addresses;
    m_addresses = std::move(addresses);
    return hasChanged;
}

void RankCoordinator::setShape(const std::optional<ExpertShape> &shape)
{
    if (m_shape == shape)
        return;
    m_shape = shape;
    m_demand.reset();
    if (shape)
        m_demand.emplace(shape->m_layers, shape->m_experts);
}

void RankCoordinator::setGroup(const std::optional<std::string> &group, std::uint32_t localRank)
{
    if (m_group == group)
        return;
    m_group = group;
    m_localRank = localRank;
    m_dependencies.m_log.add(group ? "coordination_begun" : "coordination_ended",
                             {{"group", group.value_or("")}, {"rank", std::to_string(localRank)}});
    m_dependencies.m_loop.cancel(m_timer);
    m_polls.clear();
    m_orderCalls.clear();
    m_orderReplies.end();
    m_isHoldInProgress = false;
    m_plan.reset();
    m_ranks.clear();
    m_rankAddresses.clear();
    if (group)
        scheduleRound(Milliseconds(0));
}

void RankCoordinator::addKnownMap(const ExpertMap &map)
{
    m_versions.observe(map.m_version);
    m_knownMaps[map.m_version] = map;
    while (m_knownMaps.size() > maxKnownMaps)
        m_knownMaps.erase(m_knownMaps.begin());
}

void RankCoordinator::scheduleRound(Milliseconds pause)
{
    m_dependencies.m_loop.cancel(m_timer);
    m_timer = m_dependencies.m_loop.callAt(Clock::now() + pause, [this] {
        m_timer = 0;
        startRound();
    });
}

void RankCoordinator::startRound()
{
    m_orderReplies.end();
    m_polls.clear();
    std::erase_if(m_orderCalls, [](const auto &call) { return call->isDone(); });
    if (!m_shape || m_addresses.empty()) {
        scheduleRound(idlePause);
        return;
    }
    const TimePoint now = Clock::now();
    m_isFullRound =
        m_plan || m_isHoldInProgress || m_rankAddresses.empty() || now >= m_nextFullRoundAt;
    const std::vector<std::uint32_t> sampleRanks = sampledRanks();
    const std::vector<RankAddresses> sampled = addressesOf(sampleRanks);
    const std::vector<RankAddresses> polled =
        m_isFullRound ? m_addresses : addressesOf(countRoundRanks(sampleRanks, knownRanks()));
    if (m_isFullRound) {
        m_snapshotsReadAt = bootMilliseconds();
        m_nextFullRoundAt = now + fullRoundInterval;
        m_ranks.clear();
        m_rankAddresses.clear();
    }
    m_pendingPolls = polled.size();
    for (const RankAddresses &addresses : polled) {
        const auto unresponsive = m_unresponsiveUntil.find(addresses.m_agent);
        if (unresponsive != m_unresponsiveUntil.end() && now < unresponsive->second)
            pollEngine(addresses);
        else
            pollAgent(addresses,
                      std::find(sampled.begin(), sampled.end(), addresses) != sampled.end());
    }
}

void RankCoordinator::pollAgent(const RankAddresses &addresses, bool needsCounts)
{
    const std::string target = std::string(needsCounts ? rankCountsTarget : rankStatusTarget)
                               + polledByQuery + std::to_string(m_localRank);
    m_polls.push_back(std::make_unique<ShortCall>(
        m_dependencies.m_loop, m_dependencies.m_client, addresses.m_agent, "GET", target, "",
        Clock::now() + statusTimeout,
        [this, addresses](ShortCall &call) { onAgentReply(addresses, call); },
        ShortCallOptions::toOwnProcess()));
}

void RankCoordinator::pollEngine(const RankAddresses &addresses)
{
    const auto unresponsive = m_unresponsiveUntil.find(addresses.m_engine);
    if (!m_isFullRound
        || (unresponsive != m_unresponsiveUntil.end() && Clock::now() < unresponsive->second)) {
        finishPoll();
        return;
    }
    m_polls.push_back(std::make_unique<ShortCall>(
        m_dependencies.m_loop, m_dependencies.m_client, addresses.m_engine, "GET",
        m_dependencies.m_protocol.snapshotTarget(), "", Clock::now() + statusTimeout,
        [this, addresses](ShortCall &call) { onEngineReply(addresses, call); }));
}

std::vector<std::uint32_t> RankCoordinator::knownRanks() const
{
    std::vector<std::uint32_t> ranks;
    for (const auto &[rank, addresses] : m_rankAddresses)
        ranks.push_back(rank);
    return ranks;
}

std::vector<RankAddresses>
RankCoordinator::addressesOf(const std::vector<std::uint32_t> &ranks) const
{
    std::vector<RankAddresses> addresses;
    addresses.reserve(ranks.size());
    for (const std::uint32_t rank : ranks)
        addresses.push_back(m_rankAddresses.at(rank));
    return addresses;
}

std::vector<std::uint32_t> RankCoordinator::sampledRanks() const
{
    const std::size_t countsPerRank = std::max(1U, m_shape->m_layers * m_shape->m_experts);
    const std::size_t maxRanks = std::max<std::size_t>(1, maxCountsPerRound / countsPerRank);
    return m_rankSampler.choose(knownRanks(), maxRanks, Clock::now());
}

void RankCoordinator::onAgentReply(const RankAddresses &addresses, const ShortCall &call)
{
    const auto status =
        call.status() == statusOk ? readRankStatus(call.body()) : std::optional<RankStatus>();
    if (!status) {
        markUnresponsive(addresses.m_agent, call);
        pollEngine(addresses);
        return;
    }
    if (status->m_snapshot.m_group == m_group) {
        const std::uint32_t rank = status->m_snapshot.m_rank;
        const auto &counts = status->m_counts.m_counts;
        if (!counts.empty())
            m_rankSampler.recordReading(rank, hasAnyCount(counts), Clock::now());
        if (m_demand)
            m_demand->add(status->m_counts);
        m_slownessReporter.record(rank, addresses.m_engine, status->m_snapshot.m_slowness);
        if (m_isFullRound) {
            m_rankAddresses[rank] = addresses;
            m_ranks[rank] = *status;
        } else if (const auto known = m_ranks.find(rank); known != m_ranks.end()) {
            known->second.m_snapshot.m_step = status->m_snapshot.m_step;
            known->second.m_snapshot.m_slowness = status->m_snapshot.m_slowness;
        }
    }
    finishPoll();
}

void RankCoordinator::onEngineReply(const RankAddresses &addresses, const ShortCall &call)
{
    const auto snapshot = call.status() == statusOk
                              ? m_dependencies.m_protocol.readSnapshot(call.body())
                              : std::optional<RankSnapshot>();
    if (!snapshot)
        markUnresponsive(addresses.m_engine, call);
    if (snapshot && snapshot->m_group == m_group) {
        m_rankAddresses[snapshot->m_rank] = addresses;
        m_ranks[snapshot->m_rank] = {*snapshot, {}, {}};
        m_slownessReporter.record(snapshot->m_rank, addresses.m_engine, snapshot->m_slowness);
    }
    finishPoll();
}

void RankCoordinator::markUnresponsive(const SocketAddress &address, const ShortCall &call)
{
    m_unresponsiveUntil[address] = Clock::now() + unresponsiveDuration;
    m_dependencies.m_log.add("rank_silent", {{"address", address.toString()},
                                             {"status", std::to_string(call.status())},
                                             {"reason", call.failure()}});
}

void RankCoordinator::finishPoll()
{
    if (--m_pendingPolls == 0)
        // Deferred, since the next round destroys the calls.
        m_dependencies.m_loop.post([this] { endRound(); });
}

std::vector<RankSnapshot> RankCoordinator::snapshots() const
{
    std::vector<RankSnapshot> snapshots;
    for (const auto &[rank, status] : m_ranks)
        snapshots.push_back(status.m_snapshot);
    return snapshots;
}

// Returns the first few ranks without a snapshot, separated by commas.
std::string RankCoordinator::missingRanks() const
{
    std::string missing;
    std::size_t count = 0;
    const std::uint32_t ranks =
        m_ranks.empty() ? 0 : m_ranks.begin()->second.m_snapshot.m_rankCount;
    for (std::uint32_t rank = 0; rank < ranks && count < maxMissingListed; ++rank) {
        if (m_ranks.contains(rank))
            continue;
        missing += (count == 0 ? "" : ",") + std::to_string(rank);
        ++count;
    }
    return missing;
}

// Returns the active map, by its version or assembled from the ranks' experts; none while the ranks
// are changing maps.
std::optional<ExpertMap> RankCoordinator::activeMap() const
{
    const RankSnapshot &first = m_ranks.begin()->second.m_snapshot;
    const auto known = m_knownMaps.find(first.m_mapVersion);
    if (known != m_knownMaps.end())
        return known->second;
    return assembleMap(m_ranks, *m_shape);
}

void RankCoordinator::endRound()
{
    if (!m_group || !m_shape || !m_demand)
        return;
    const bool hasSlownessChanged = reportSlowRanks();
    const bool hasShifted = m_demand->endRound();
    if (hasShifted)
        m_dependencies.m_log.add(
            "demand_shifted",
            {{"group", *m_group}, {"moved", std::to_string(m_demand->shiftedShare())}});
    if (hasShifted || hasSlownessChanged) {
        m_nextPlanAt = {};
        m_nextFullRoundAt = {};
        if (!m_isHoldInProgress)
            dropObsoletePlan();
    }
    // The next plan requires the experts of all ranks.
    if (!m_demand->hasEnoughData())
        m_nextFullRoundAt = {};
    if (m_isFullRound)
        decide();
    else
        scheduleRound(m_nextFullRoundAt <= Clock::now() ? Milliseconds(0)
                      : updateLatestStep()              ? busyPause
                                                        : idlePause);
}

// Drops the plan that is being loaded if it doesn't suit the present demand and ranks.
void RankCoordinator::dropObsoletePlan()
{
    if (!m_plan || m_ranks.empty())
        return;
    const auto current = activeMap();
    if (current
        && isStillWorthwhile(m_plan->m_map, *current, m_demand->loads(),
                             changeLimits(snapshots()).m_shape))
        return;
    m_dependencies.m_log.add(
        "plan_dropped",
        {{"group", *m_group}, {"version", std::to_string(m_plan->m_map.m_version)}});
    m_plan.reset();
}

// Drops the plan if a rank refuses it for a version that it has had and doesn't report: a group
// that forms anew uses map 0 again, and its ranks still refuse the versions from before.
void RankCoordinator::dropRefusedPlan(const std::vector<RankSnapshot> &snapshots)
{
    if (!m_plan || !m_plan->m_dropAt || Clock::now() < *m_plan->m_dropAt)
        return;
    const std::uint64_t version = m_plan->m_map.m_version;
    const bool isArmed =
        std::any_of(snapshots.begin(), snapshots.end(),
                    [](const RankSnapshot &snapshot) { return snapshot.m_armed.has_value(); });
    const bool isPrepared =
        std::all_of(snapshots.begin(), snapshots.end(), [&](const RankSnapshot &snapshot) {
            return snapshot.m_preparedVersion == version || snapshot.m_mapVersion == version;
        });
    if (isArmed || isPrepared)
        return;
    m_dependencies.m_log.add("plan_refused",
                             {{"group", *m_group}, {"version", std::to_string(version)}});
    m_versions.skipAhead();
    m_plan.reset();
}

// Updates the group's latest started step. Returns whether it has changed since the last call.
bool RankCoordinator::updateLatestStep()
{
    const std::uint64_t step = m_ranks.empty() ? 0 : m_ranks.begin()->second.m_snapshot.m_step;
    const bool hasStarted = step != m_latestStep;
    m_latestStep = step;
    return hasStarted;
}

void RankCoordinator::decide()
{
    const auto rankSnapshots = snapshots();
    if (rankSnapshots.empty() || rankSnapshots.size() != rankSnapshots.front().m_rankCount)
        m_dependencies.m_log.add("round_incomplete",
                                 {{"group", *m_group},
                                  {"answered", std::to_string(rankSnapshots.size())},
                                  {"asked", std::to_string(m_addresses.size())},
                                  {"missing", missingRanks()}});
    m_versions.observe(MapRollout::nextVersion(rankSnapshots) - 1);
    if (m_plan && !rankSnapshots.empty() && rankSnapshots.front().m_epoch != m_plan->m_epoch)
        m_plan.reset();
    dropRefusedPlan(rankSnapshots);
    if (!m_plan && Clock::now() >= m_nextPlanAt)
        makePlan(rankSnapshots, false);
    const auto version = m_plan ? std::optional(m_plan->m_map.m_version) : std::nullopt;
    const auto age =
        Milliseconds(static_cast<std::int64_t>(bootMilliseconds() - m_snapshotsReadAt));
    RolloutDecision decision = isRank0PresentOrUnresponsive()
                                   ? m_rollout.next(rankSnapshots, version, age)
                                   : RolloutDecision();
    if (decision.m_needsPlan) {
        m_plan.reset();
        makePlan(rankSnapshots, decision.m_isHoldInProgress);
        scheduleRound(holdPause);
        return;
    }
    if (decision.m_isDone) {
        m_dependencies.m_log.add("map_in_use",
                                 {{"group", *m_group},
                                  {"version", std::to_string(*version)},
                                  {"step", std::to_string(rankSnapshots.front().m_step)}});
        m_dependencies.m_metrics.counter("burdockhead_map_changes_total").add();
        m_versions.onAccepted();
        m_plan.reset();
        m_nextFullRoundAt = {}; // A further change may be worthwhile.
    }
    m_orderReplies.end();
    ++m_orderRound;
    if (canAwaitReplies(decision))
        m_orderReplies.begin(m_orderRound);
    for (const RankOrder &order : decision.m_orders) {
        if (order.m_expectedSequence)
            m_dependencies.m_log.add("hold_ended_without_rank_0",
                                     {{"group", *m_group},
                                      {"step", std::to_string(order.m_step)},
                                      {"sequence", std::to_string(*order.m_expectedSequence)}});
    }
    send(decision.m_orders);
    m_isHoldInProgress = decision.m_isHoldInProgress;
    if (m_orderReplies.isAwaiting())
        return; // The reply to the last order continues.
    m_orderReplies.end();
    if (decision.m_isHoldInProgress)
        scheduleRound(holdPause);
    else if (m_plan)
        scheduleRound(changePause
                      + Milliseconds(static_cast<int>(pausePerRankMilliseconds
                                                      * static_cast<double>(m_addresses.size()))));
    else
        scheduleRound(updateLatestStep() ? busyPause : idlePause);
}

// While the group is held every message delays it: successful replies imply the state that another
// round would read.
bool RankCoordinator::canAwaitReplies(const RolloutDecision &decision)
{
    return decision.m_isHoldInProgress && !decision.m_orders.empty()
           && std::all_of(
               decision.m_orders.begin(), decision.m_orders.end(), [](const RankOrder &order) {
                   return order.m_type == RankOrderType::Hold || order.m_type == RankOrderType::Arm;
               });
}

void RankCoordinator::onOrderReply(std::uint64_t round, const RankOrder &order, int status)
{
    m_dependencies.m_log.add("order", {{"rank", std::to_string(order.m_rank)},
                                       {"type", toString(order.m_type)},
                                       {"version", std::to_string(order.m_version)},
                                       {"step", std::to_string(order.m_step)},
                                       {"status", std::to_string(status)}});
    if (order.m_type == RankOrderType::Prepare && status >= firstFailureStatus)
        m_mapDistribution.onFailed(order.m_rank);
    if (order.m_type == RankOrderType::Prepare && status == statusConflict)
        onPrepareRefused(order.m_version);
    const auto rank = m_ranks.find(order.m_rank);
    const bool isDone = status >= statusOk && status < firstFailureStatus;
    switch (m_orderReplies.onReply(round, order, isDone,
                                   rank == m_ranks.end() ? nullptr : &rank->second.m_snapshot)) {
    case OrderProgress::Ignored:
    case OrderProgress::Pending:
        return;
    case OrderProgress::Done:
        scheduleDecision(Clock::now());
        return;
    case OrderProgress::Failed:
        scheduleRound(Milliseconds(0));
        return;
    case OrderProgress::AwaitingHold:
        confirmHold(order.m_rank);
        return;
    }
}

void RankCoordinator::onPrepareRefused(std::uint64_t version)
{
    if (!m_plan || m_plan->m_map.m_version != version || m_plan->m_dropAt || !m_shape)
        return;
    const std::chrono::duration<double, std::milli> loadTime(refusedPlanLoads
                                                             * m_shape->m_loadMilliseconds);
    m_plan->m_dropAt =
        Clock::now() + refusedPlanTimeout + std::chrono::duration_cast<Duration>(loadTime);
}

// Deferred, since the next round destroys the calls.
void RankCoordinator::scheduleDecision(TimePoint at)
{
    m_dependencies.m_loop.cancel(m_timer);
    m_timer = m_dependencies.m_loop.callAt(at, [this] {
        m_timer = 0;
        decide();
    });
}

// Reads the rank that was ordered to hold the group again, while nothing is armed yet anyway. An
// engine's own report to other VMs lags too far behind to show the hold.
void RankCoordinator::confirmHold(std::uint32_t rank)
{
    if (isUnresponsive(rank)) {
        scheduleRound(holdPause);
        return;
    }
    const TimePoint armAt = Clock::now() + armDelay;
    m_polls.push_back(std::make_unique<ShortCall>(
        m_dependencies.m_loop, m_dependencies.m_client, m_rankAddresses.at(rank).m_agent, "GET",
        rankStatusTarget + (polledByQuery + std::to_string(m_localRank)), "",
        Clock::now() + statusTimeout,
        [this, rank, armAt](ShortCall &call) { onHoldRead(rank, armAt, call); },
        ShortCallOptions::toOwnProcess()));
}

void RankCoordinator::onHoldRead(std::uint32_t rank, TimePoint armAt, const ShortCall &call)
{
    const auto status =
        call.status() == statusOk ? readRankStatus(call.body()) : std::optional<RankStatus>();
    const auto known = m_ranks.find(rank);
    if (!status || known == m_ranks.end() || status->m_snapshot.m_group != m_group
        || status->m_snapshot.m_rank != rank) {
        scheduleRound(Milliseconds(0));
        return;
    }
    known->second.m_snapshot = status->m_snapshot;
    scheduleDecision(armAt);
}

// A change isn't ended without rank 0 while the agent beside it still coordinates.
bool RankCoordinator::isRank0PresentOrUnresponsive() const
{
    return m_ranks.contains(0) || std::all_of(m_ranks.begin(), m_ranks.end(), [](const auto &item) {
               return item.second.m_sinceRank0Poll >= rank0Timeout;
           });
}

// Returns the newest map that ranks were ordered to prepare; none if this process knows none.
std::optional<ExpertMap> RankCoordinator::newestKnownMap() const
{
    return m_knownMaps.empty() ? std::nullopt : std::optional(m_knownMaps.rbegin()->second);
}

MapChangeLimits RankCoordinator::changeLimits(const std::vector<RankSnapshot> &snapshots) const
{
    MapChangeLimits limits = {
        {snapshots.front().m_rankCount, m_shape->m_expertSlotsPerRank, slownessOf(snapshots)},
        m_shape->m_maxLoadsPerChange};
    const double affordableLoads =
        loadBudgetMilliseconds / std::max(m_shape->m_loadMilliseconds, 1.0);
    limits.m_maxLoadsPerRank = std::max(minLoadsPerRank, static_cast<std::size_t>(affordableLoads));
    limits.m_changeTime = changeTime;
    limits.m_loadMilliseconds = m_shape->m_loadMilliseconds;
    return limits;
}

// Plans a change for the current demand. If forced, to end a hold, the plan changes nothing or
// repeats what the ranks have prepared already.
void RankCoordinator::makePlan(const std::vector<RankSnapshot> &snapshots, bool isForced)
{
    if (snapshots.empty() || !m_demand
        || (snapshots.size() != snapshots.front().m_rankCount && !isForced))
        return;
    const auto current = activeMap();
    if (!isForced && (!current || !m_demand->hasEnoughData()))
        return;
    const MapChangeLimits limits = changeLimits(snapshots);
    auto planned = isForced ? (current ? current : newestKnownMap())
                            : planMapChange(*current, m_demand->loads(), limits);
    if (!planned) {
        m_nextPlanAt = Clock::now() + planInterval;
        return;
    }
    const ExpertMap currentMap = current.value_or(*planned);
    planned->m_version =
        m_versions.next(m_localRank, wallMilliseconds() * microsecondsPerMillisecond);
    m_plan = Plan{std::move(*planned), snapshots.front().m_epoch};
    addKnownMap(m_plan->m_map);
    m_mapDistribution.reset();
    m_dependencies.m_log.add(
        "map_planned",
        {{"group", *m_group},
         {"version", std::to_string(m_plan->m_map.m_version)},
         {"loads", std::to_string(countExpertsToLoad(currentMap, m_plan->m_map))},
         {"skew", std::to_string(skewOf(currentMap, m_demand->loads(), limits.m_shape))},
         {"skew_planned", std::to_string(skewOf(m_plan->m_map, m_demand->loads(), limits.m_shape))},
         {"forced", isForced ? "yes" : "no"}});
}

// Whether an order goes to the rank's engine instead of its agent. Orders to hold and resume do: an
// agent's VM that has just held the group could freeze with the rank that has to resume it.
bool RankCoordinator::isSentToEngine(const RankOrder &order) const
{
    const bool isHold =
        order.m_type == RankOrderType::Hold || order.m_type == RankOrderType::Resume;
    return isUnresponsive(order.m_rank) || (isHold && order.m_rank != m_localRank);
}

bool RankCoordinator::isUnresponsive(std::uint32_t rank) const
{
    const auto unresponsive = m_unresponsiveUntil.find(m_rankAddresses.at(rank).m_agent);
    return unresponsive != m_unresponsiveUntil.end() && Clock::now() < unresponsive->second;
}

void RankCoordinator::send(const std::vector<RankOrder> &orders)
{
    std::vector<MapDistribution::Recipient> mapRecipients;
    const TimePoint now = Clock::now();
    for (const RankOrder &order : orders) {
        const auto addresses = m_rankAddresses.find(order.m_rank);
        if (addresses == m_rankAddresses.end())
            continue;
        if (order.m_type == RankOrderType::Prepare)
            mapRecipients.push_back(
                {order, addresses->second.m_agent, isUnresponsive(order.m_rank)});
        else
            send({order, m_ranks.at(order.m_rank).m_snapshot.m_rankCount, {}, {}},
                 now + orderTimeout);
    }
    if (!m_plan || mapRecipients.empty())
        return;
    const std::uint32_t rankCount = m_ranks.begin()->second.m_snapshot.m_rankCount;
    for (const RankOrderMessage &message :
         m_mapDistribution.messages(mapRecipients, rankCount, m_plan->m_map, now))
        send(message, now + mapTimeout);
}

void RankCoordinator::send(const RankOrderMessage &message, TimePoint deadline)
{
    if (sendByRelay(message))
        return;
    const RankOrder order = message.m_order;
    const RankAddresses &addresses = m_rankAddresses.at(order.m_rank);
    const ExpertMap *map = message.m_map ? &*message.m_map : nullptr;
    const bool isSentToEngine = this->isSentToEngine(order);
    if (isSentToEngine && map == nullptr)
        deadline = std::min(deadline, Clock::now() + directOrderTimeout);
    m_orderCalls.push_back(std::make_unique<ShortCall>(
        m_dependencies.m_loop, m_dependencies.m_client,
        isSentToEngine ? addresses.m_engine : addresses.m_agent, "POST",
        isSentToEngine ? m_dependencies.m_protocol.orderTarget() : rankOrderTarget,
        isSentToEngine ? m_dependencies.m_protocol.writeOrder(order, map, message.m_rankCount)
                       : writeRankOrder(message),
        deadline,
        [this, order, round = m_orderRound](ShortCall &call) {
            onOrderReply(round, order, call.status());
        },
        isSentToEngine ? ShortCallOptions() : ShortCallOptions::toOwnProcess()));
    m_orderReplies.expect();
}

// Tells the gateways which ranks are slow; they spread it among them. Returns whether that is new.
bool RankCoordinator::reportSlowRanks()
{
    const auto report = m_slownessReporter.nextReport(Clock::now());
    if (!report)
        return false;
    m_dependencies.m_log.add(
        "slow_ranks", {{"group", *m_group}, {"count", std::to_string(report->m_ranks.size())}});
    for (const SocketAddress &gateway : m_dependencies.m_gateways)
        m_orderCalls.push_back(std::make_unique<ShortCall>(
            m_dependencies.m_loop, m_dependencies.m_client, gateway, "POST", rankReportTarget,
            writeRankReport({*m_group, report->m_ranks}), Clock::now() + orderTimeout,
            [](ShortCall &) {}, ShortCallOptions::toOwnProcess()));
    return report->m_isNew;
}

// Sends an order to hold through a gateway, since no rank runs on its VM. Returns false when the
// order must be sent directly.
bool RankCoordinator::sendByRelay(const RankOrderMessage &message)
{
    const RankOrder order = message.m_order;
    const auto relay = order.m_type == RankOrderType::Hold ? m_relaySelector.choose(Clock::now())
                                                           : std::optional<SocketAddress>();
    if (!relay)
        return false;
    m_orderCalls.push_back(std::make_unique<ShortCall>(
        m_dependencies.m_loop, m_dependencies.m_client, *relay, "POST",
        relayPrefix + m_dependencies.m_protocol.orderTarget(),
        m_dependencies.m_protocol.writeOrder(order, nullptr, message.m_rankCount),
        Clock::now() + relayTimeout,
        [this, order, relay, round = m_orderRound](ShortCall &call) {
            if (call.status() == 0 || call.status() == statusEngineUnknown)
                m_relaySelector.recordFailure(*relay, Clock::now());
            onOrderReply(round, order, call.status());
        },
        ShortCallOptions::toOwnProcess(
            {{relayToHeader, m_rankAddresses.at(order.m_rank).m_engine.toString()}})));
    m_orderReplies.expect();
    return true;
}

} // namespace burdockhead
