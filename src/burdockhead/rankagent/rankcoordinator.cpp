#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/observe/wallclock.h>
#include <burdockhead/process/processstart.h>
#include <burdockhead/rankagent/deputies.h>
#include <burdockhead/rankagent/mapplanner.h>
#include <burdockhead/rankagent/rankagentprocess.h>
#include <burdockhead/rankagent/rankcoordinator.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Between rounds: while the group makes no steps, while it does, while a map is being loaded,
// and while the group is held and waits for every message. A shift of the demand shows within
// one or two rounds.
constexpr Milliseconds idlePause{150};
constexpr Milliseconds busyPause{70};
constexpr Milliseconds changePause{25};
constexpr Milliseconds holdPause{5};
// Added to each pause for a rank that is asked, so that large groups don't fill the link of the
// coordinator's VM.
constexpr double pauseForRankMilliseconds = 1;
// Counts that are read in a round, over all ranks: about 40 KB, half of what the link of the
// coordinator's VM carries in the time. In large groups some ranks stand for the others.
constexpr std::size_t countsInRound = 30000;
// Orders with a map that the coordinator gives itself; further ranks are told by those agents.
constexpr std::size_t relays = 8;
// How long an agent that didn't answer is taken for silent, and its engine is asked instead.
constexpr Milliseconds silencePause{1000};
// Missing ranks that a line names at the most, so that lines stay short.
constexpr std::size_t missingNamed = 8;
// Maps that are remembered by their version: the one in use, and those on their way.
constexpr std::size_t knownMaps = 4;
// Between a hold and the orders to arm. The group seldom waits in this time, as it is held two
// steps ahead, and a VM that freezes with its order to hold has armed nothing yet, so that a
// deputy can end the hold.
constexpr Milliseconds settleTime{30};
// All ranks are asked at least as often, which shows a hold that was left behind.
constexpr Milliseconds fullRoundInterval{700};
// The time in which a change should be loaded, against some seconds between two shifts, and
// the fewest experts that a rank may load for it.
constexpr double loadBudgetMilliseconds = 350;
constexpr std::size_t leastLoads = 3;
// How long an agent may take to answer; on one network it takes a few milliseconds.
constexpr Milliseconds statusTimeout{120};
// After this silence of the agent beside rank 0 towards all others, its VM counts as frozen. While
// a group is held it asks each of them every few milliseconds.
constexpr Milliseconds firstSilence{300};
constexpr Milliseconds orderTimeout{120};
// The same for an order to an engine itself.
constexpr Milliseconds directOrderTimeout{50};
// The same by way of a gateway, and what one answers that doesn't know the engine yet.
constexpr Milliseconds relayTimeout{60};
constexpr int statusUnknownThere = 404;
// The same for an order with a map over a slow link.
constexpr Milliseconds mapTimeout{300};
// Orders to load are given again after this; loading takes up to about a second.
constexpr Milliseconds prepareAgainAfter{600};
// Between plans, so that the effect of one is counted before the next.
constexpr Milliseconds planPause{700};

constexpr int statusOk = 200;
constexpr int firstFailureStatus = 400;

// By rank; a rank that isn't known counts as in good health.
std::vector<double> slownessOf(const std::vector<RankView> &views)
{
    std::vector<double> slowness(views.front().m_ranks, 1);
    for (const RankView &view : views) {
        if (view.m_rank < slowness.size())
            slowness[view.m_rank] = view.m_slowness;
    }
    return slowness;
}

bool hasAny(const std::vector<std::uint64_t> &counts)
{
    return std::any_of(counts.begin(), counts.end(), [](std::uint64_t count) { return count > 0; });
}

} // namespace

RankCoordinator::RankCoordinator(const CoordinatorParts &parts, Random seed)
    : m_parts(parts)
    , m_random(seed)
    , m_relays(parts.m_gateways)
{}

RankCoordinator::~RankCoordinator()
{
    m_parts.m_loop.cancel(m_timer);
}

bool RankCoordinator::setAccess(std::vector<RankAccess> access)
{
    const bool isOther = access != m_access;
    m_access = std::move(access);
    return isOther;
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

void RankCoordinator::setGroup(const std::optional<std::string> &group, std::uint32_t ownRank)
{
    if (m_group == group)
        return;
    m_group = group;
    m_ownRank = ownRank;
    m_parts.m_lines.add(group ? "coordination_begun" : "coordination_ended",
                        {{"group", group.value_or("")}, {"rank", std::to_string(ownRank)}});
    m_parts.m_loop.cancel(m_timer);
    m_asking.clear();
    m_ordering.clear();
    m_awaitsOrders = false;
    m_plan.reset();
    m_ranks.clear();
    m_rankAccess.clear();
    if (group)
        scheduleRound(Milliseconds(0));
}

void RankCoordinator::noteMap(const ExpertMap &map)
{
    m_maps[map.m_version] = map;
    while (m_maps.size() > knownMaps)
        m_maps.erase(m_maps.begin());
}

void RankCoordinator::scheduleRound(Milliseconds pause)
{
    m_parts.m_loop.cancel(m_timer);
    m_timer = m_parts.m_loop.callAt(Clock::now() + pause, [this] {
        m_timer = 0;
        startRound();
    });
}

void RankCoordinator::startRound()
{
    m_awaitsOrders = false;
    m_asking.clear();
    std::erase_if(m_ordering, [](const auto &call) { return call->isDone(); });
    if (!m_shape || m_access.empty()) {
        scheduleRound(idlePause);
        return;
    }
    const TimePoint now = Clock::now();
    m_isFullRound = m_plan || m_isHolding || m_rankAccess.empty() || now >= m_nextFullRoundAt;
    const std::vector<std::uint32_t> sample = countedRanks();
    const std::vector<RankAccess> counted = accessOf(sample);
    const std::vector<RankAccess> asked =
        m_isFullRound ? m_access : accessOf(ranksOfCountRound(sample, knownRanks()));
    if (m_isFullRound) {
        m_viewsFrom = bootMilliseconds();
        m_nextFullRoundAt = now + fullRoundInterval;
        m_ranks.clear();
        m_rankAccess.clear();
    }
    m_unanswered = asked.size();
    for (const RankAccess &access : asked) {
        const auto silent = m_silentUntil.find(access.m_agent);
        if (silent != m_silentUntil.end() && now < silent->second)
            askEngine(access);
        else
            ask(access, std::find(counted.begin(), counted.end(), access) != counted.end());
    }
}

void RankCoordinator::ask(const RankAccess &access, bool hasCounts)
{
    const std::string target = std::string(hasCounts ? rankCountsTarget : rankStatusTarget)
                               + askedByQuery + std::to_string(m_ownRank);
    m_asking.push_back(std::make_unique<ShortCall>(
        m_parts.m_loop, m_parts.m_client, access.m_agent, "GET", target, "",
        Clock::now() + statusTimeout, [this, access](ShortCall &call) { answered(access, call); }));
}

void RankCoordinator::askEngine(const RankAccess &access)
{
    const auto silent = m_silentUntil.find(access.m_engine);
    if (!m_isFullRound || (silent != m_silentUntil.end() && Clock::now() < silent->second)) {
        oneLessUnanswered();
        return;
    }
    m_asking.push_back(std::make_unique<ShortCall>(
        m_parts.m_loop, m_parts.m_client, access.m_engine, "GET", m_parts.m_dialect.viewTarget(),
        "", Clock::now() + statusTimeout,
        [this, access](ShortCall &call) { engineAnswered(access, call); }));
}

std::vector<std::uint32_t> RankCoordinator::knownRanks() const
{
    std::vector<std::uint32_t> ranks;
    for (const auto &[rank, access] : m_rankAccess)
        ranks.push_back(rank);
    return ranks;
}

std::vector<RankAccess> RankCoordinator::accessOf(const std::vector<std::uint32_t> &ranks) const
{
    std::vector<RankAccess> access;
    access.reserve(ranks.size());
    for (const std::uint32_t rank : ranks)
        access.push_back(m_rankAccess.at(rank));
    return access;
}

std::vector<std::uint32_t> RankCoordinator::countedRanks() const
{
    const std::size_t countsOfRank = std::max(1U, m_shape->m_layers * m_shape->m_experts);
    const std::size_t most = std::max<std::size_t>(1, countsInRound / countsOfRank);
    return m_countSample.choose(knownRanks(), most, Clock::now());
}

void RankCoordinator::answered(const RankAccess &access, const ShortCall &call)
{
    const auto status =
        call.status() == statusOk ? readRankStatus(call.body()) : std::optional<RankStatus>();
    if (!status) {
        noteSilent(access.m_agent, call);
        askEngine(access);
        return;
    }
    if (status->m_view.m_group == m_group) {
        const std::uint32_t rank = status->m_view.m_rank;
        const auto &counts = status->m_counts.m_counts;
        if (!counts.empty())
            m_countSample.note(rank, hasAny(counts), Clock::now());
        if (m_demand)
            m_demand->add(status->m_counts);
        if (m_isFullRound) {
            m_rankAccess[rank] = access;
            m_ranks[rank] = *status;
        } else if (rank == 0) {
            m_ranks[rank].m_view.m_step = status->m_view.m_step;
        }
    }
    oneLessUnanswered();
}

void RankCoordinator::engineAnswered(const RankAccess &access, const ShortCall &call)
{
    const auto view = call.status() == statusOk ? m_parts.m_dialect.readView(call.body())
                                                : std::optional<RankView>();
    if (!view)
        noteSilent(access.m_engine, call);
    if (view && view->m_group == m_group) {
        m_rankAccess[view->m_rank] = access;
        m_ranks[view->m_rank] = {*view, {}, {}};
    }
    oneLessUnanswered();
}

void RankCoordinator::noteSilent(const SocketAddress &address, const ShortCall &call)
{
    m_silentUntil[address] = Clock::now() + silencePause;
    m_parts.m_lines.add("rank_silent", {{"address", address.toString()},
                                        {"status", std::to_string(call.status())},
                                        {"reason", call.failure()}});
}

void RankCoordinator::oneLessUnanswered()
{
    if (--m_unanswered == 0)
        // From the loop, since the calls are destroyed by the next round.
        m_parts.m_loop.post([this] { endRound(); });
}

std::vector<RankView> RankCoordinator::views() const
{
    std::vector<RankView> views;
    for (const auto &[rank, status] : m_ranks)
        views.push_back(status.m_view);
    return views;
}

// The first few ranks that no view came from.
std::string RankCoordinator::missingRanks() const
{
    std::string missing;
    std::size_t count = 0;
    const std::uint32_t ranks = m_ranks.empty() ? 0 : m_ranks.begin()->second.m_view.m_ranks;
    for (std::uint32_t rank = 0; rank < ranks && count < missingNamed; ++rank) {
        if (m_ranks.contains(rank))
            continue;
        missing += (count == 0 ? "" : ",") + std::to_string(rank);
        ++count;
    }
    return missing;
}

// The map that the ranks use, known by its version or put together from what each holds; none
// when they are in the midst of a change.
std::optional<ExpertMap> RankCoordinator::mapInUse() const
{
    const RankView &first = m_ranks.begin()->second.m_view;
    const auto known = m_maps.find(first.m_map);
    if (known != m_maps.end())
        return known->second;
    if (m_ranks.size() != first.m_ranks)
        return std::nullopt;
    ExpertMap map;
    map.m_layers.assign(m_shape->m_layers, LayerPlacement(m_shape->m_experts));
    for (const auto &[rank, status] : m_ranks) {
        const RankExperts &held = status.m_experts;
        if (held.m_version != status.m_view.m_map || held.m_layers.size() != m_shape->m_layers)
            return std::nullopt;
        map.m_version = held.m_version;
        for (std::size_t layer = 0; layer < held.m_layers.size(); ++layer) {
            for (const std::uint32_t expert : held.m_layers[layer]) {
                if (expert >= m_shape->m_experts)
                    return std::nullopt;
                map.m_layers[layer][expert].push_back(static_cast<std::uint16_t>(rank));
            }
        }
    }
    for (const LayerPlacement &layer : map.m_layers) {
        for (const ExpertReplicas &replicas : layer) {
            if (replicas.empty())
                return std::nullopt;
        }
    }
    return map;
}

void RankCoordinator::endRound()
{
    if (!m_group || !m_shape || !m_demand)
        return;
    if (m_demand->endRound()) {
        m_parts.m_lines.add("demand_shifted", {{"group", *m_group},
                                               {"moved", std::to_string(m_demand->movedPart())}});
        m_nextPlanAt = {};
        m_nextFullRoundAt = {};
        // A plan by the demand from before isn't worth its loads.
        if (!m_isHolding)
            m_plan.reset();
    }
    // The next plan needs to know what all ranks hold.
    if (!m_demand->isTelling())
        m_nextFullRoundAt = {};
    if (m_isFullRound)
        decide();
    else
        scheduleRound(m_nextFullRoundAt <= Clock::now() ? Milliseconds(0)
                      : isMakingSteps()                 ? busyPause
                                                        : idlePause);
}

// Whether the group has begun a step since the last round.
bool RankCoordinator::isMakingSteps()
{
    const std::uint64_t step = m_ranks.empty() ? 0 : m_ranks.begin()->second.m_view.m_step;
    const bool isMaking = step != m_lastStep;
    m_lastStep = step;
    return isMaking;
}

void RankCoordinator::decide()
{
    const auto now = views();
    if (now.empty() || now.size() != now.front().m_ranks)
        m_parts.m_lines.add("round_incomplete", {{"group", *m_group},
                                                 {"answered", std::to_string(now.size())},
                                                 {"asked", std::to_string(m_access.size())},
                                                 {"missing", missingRanks()}});
    if (m_plan && !now.empty() && now.front().m_epoch != m_plan->m_epoch)
        m_plan.reset();
    if (!m_plan && Clock::now() >= m_nextPlanAt)
        makePlan(now, false);
    const auto version = m_plan ? std::optional(m_plan->m_map.m_version) : std::nullopt;
    const auto age = Milliseconds(static_cast<std::int64_t>(bootMilliseconds() - m_viewsFrom));
    RolloutStep step = hasFirstOrItIsSilent() ? m_rollout.next(now, version, age) : RolloutStep();
    if (step.m_needsPlan) {
        m_plan.reset();
        makePlan(now, step.m_isHolding);
        scheduleRound(holdPause);
        return;
    }
    if (step.m_isDone) {
        m_parts.m_lines.add("map_in_use", {{"group", *m_group},
                                           {"version", std::to_string(*version)},
                                           {"step", std::to_string(now.front().m_step)}});
        m_parts.m_metrics.counter("burdockhead_map_changes_total").add();
        m_plan.reset();
        m_nextPlanAt = Clock::now() + planPause;
    }
    m_awaitedOrders = 0;
    m_hasFailedOrder = false;
    m_awaitsOrders = canAwait(step);
    give(step.m_orders);
    m_isHolding = step.m_isHolding;
    if (m_awaitsOrders && m_awaitedOrders > 0)
        return; // The answer to the last order goes on.
    m_awaitsOrders = false;
    if (step.m_isHolding)
        scheduleRound(holdPause);
    else if (m_plan)
        scheduleRound(changePause
                      + Milliseconds(static_cast<int>(pauseForRankMilliseconds
                                                      * static_cast<double>(m_access.size()))));
    else
        scheduleRound(isMakingSteps() ? busyPause : idlePause);
}

// While the group is held every message counts: the answers to orders tell what the ranks would
// say in another round.
bool RankCoordinator::canAwait(const RolloutStep &step)
{
    return step.m_isHolding && !step.m_orders.empty()
           && std::all_of(step.m_orders.begin(), step.m_orders.end(), [](const RankOrder &order) {
                  return order.m_type == RankOrderType::Hold || order.m_type == RankOrderType::Arm;
              });
}

void RankCoordinator::orderAnswered(const RankOrder &order, int status)
{
    m_parts.m_lines.add("order", {{"rank", std::to_string(order.m_rank)},
                                  {"type", toString(order.m_type)},
                                  {"version", std::to_string(order.m_version)},
                                  {"step", std::to_string(order.m_step)},
                                  {"status", std::to_string(status)}});
    if (order.m_type == RankOrderType::Prepare && status >= firstFailureStatus)
        m_prepareAgainAt.erase(order.m_rank);
    if (!m_awaitsOrders)
        return;
    const auto rank = m_ranks.find(order.m_rank);
    const bool isDone = status >= statusOk && status < firstFailureStatus;
    if (!isDone || rank == m_ranks.end())
        m_hasFailedOrder = true;
    else if (order.m_type == RankOrderType::Hold)
        rank->second.m_view.m_held = order.m_step;
    else
        rank->second.m_view.m_armed = ArmedMap{order.m_version, order.m_step};
    if (--m_awaitedOrders > 0)
        return;
    m_awaitsOrders = false;
    if (m_hasFailedOrder) {
        scheduleRound(Milliseconds(0));
        return;
    }
    // From the loop, since the calls are destroyed by the next round.
    m_parts.m_loop.cancel(m_timer);
    const bool isHold = order.m_type == RankOrderType::Hold;
    m_timer = m_parts.m_loop.callAt(Clock::now() + (isHold ? settleTime : Milliseconds(0)), [this] {
        m_timer = 0;
        decide();
    });
}

// A change isn't ended without rank 0 while the agent beside it still coordinates.
bool RankCoordinator::hasFirstOrItIsSilent() const
{
    return m_ranks.contains(0) || std::all_of(m_ranks.begin(), m_ranks.end(), [](const auto &item) {
               return item.second.m_sinceFirstAsked >= firstSilence;
           });
}

// The last map that ranks were told to prepare; none if this process has heard of none.
std::optional<ExpertMap> RankCoordinator::newestMap() const
{
    return m_maps.empty() ? std::nullopt : std::optional(m_maps.rbegin()->second);
}

// Plans a change by the demand, or, when one is needed to end a hold, one that changes nothing or
// what the ranks have prepared already.
void RankCoordinator::makePlan(const std::vector<RankView> &views, bool isForced)
{
    if (views.empty() || !m_demand || (views.size() != views.front().m_ranks && !isForced))
        return;
    const std::uint32_t ranks = views.front().m_ranks;
    const auto current = mapInUse();
    if (!isForced && (!current || !m_demand->isTelling()))
        return;
    MapChangeLimits limits = {{ranks, m_shape->m_slotsPerRank, slownessOf(views)},
                              m_shape->m_maxLoadsPerChange};
    const double loads = loadBudgetMilliseconds / std::max(m_shape->m_loadMilliseconds, 1.0);
    limits.m_newPerRankInAll = std::max(leastLoads, static_cast<std::size_t>(loads));
    auto planned = isForced ? (current ? current : newestMap())
                            : planMapChange(*current, m_demand->loads(), limits);
    if (!planned)
        return;
    const ExpertMap from = current.value_or(*planned);
    // From the clock, so that a version is never used twice for different maps: an order to
    // load one may be carried out after the process that gave it has started again.
    planned->m_version = std::max(MapRollout::nextVersion(views), newIncarnation().m_value);
    m_plan = Plan{std::move(*planned), views.front().m_epoch};
    noteMap(m_plan->m_map);
    m_prepareAgainAt.clear();
    m_parts.m_lines.add(
        "map_planned",
        {{"group", *m_group},
         {"version", std::to_string(m_plan->m_map.m_version)},
         {"loads", std::to_string(countLoads(from, m_plan->m_map))},
         {"skew", std::to_string(skewOf(from, m_demand->loads(), limits.m_shape))},
         {"skew_planned", std::to_string(skewOf(m_plan->m_map, m_demand->loads(), limits.m_shape))},
         {"forced", isForced ? "yes" : "no"}});
}

// Whether an order goes to the rank's engine instead of its agent: one that holds the group does,
// or the VM that has just held it could freeze with the rank that has to let it go.
bool RankCoordinator::isDirect(const RankOrder &order) const
{
    const bool isHold = order.m_type == RankOrderType::Hold || order.m_type == RankOrderType::Go;
    return isSilent(order.m_rank) || (isHold && order.m_rank != m_ownRank);
}

bool RankCoordinator::isSilent(std::uint32_t rank) const
{
    const auto silent = m_silentUntil.find(m_rankAccess.at(rank).m_agent);
    return silent != m_silentUntil.end() && Clock::now() < silent->second;
}

void RankCoordinator::give(const std::vector<RankOrder> &orders)
{
    const TimePoint now = Clock::now();
    std::vector<RankOrderMessage> messages;
    std::vector<RankOrderMessage> withMap;
    for (const RankOrder &order : orders) {
        if (!m_rankAccess.contains(order.m_rank))
            continue;
        RankOrderMessage message = {order, m_ranks.at(order.m_rank).m_view.m_ranks, {}, {}};
        if (order.m_type != RankOrderType::Prepare) {
            messages.push_back(std::move(message));
            continue;
        }
        TimePoint &again = m_prepareAgainAt[order.m_rank];
        if (now < again || !m_plan)
            continue;
        again = now + prepareAgainAfter;
        if (withMap.size() < relays || isSilent(order.m_rank)) {
            message.m_map = m_plan->m_map;
            withMap.push_back(std::move(message));
        } else {
            RankOrderMessage &relay = withMap[order.m_rank % withMap.size()];
            relay.m_forwardTo.push_back({order.m_rank, m_rankAccess.at(order.m_rank).m_agent});
        }
    }
    messages.insert(messages.end(), withMap.begin(), withMap.end());
    for (const RankOrderMessage &message : messages)
        give(message, now + (message.m_map ? mapTimeout : orderTimeout));
}

void RankCoordinator::give(const RankOrderMessage &message, TimePoint deadline)
{
    if (giveByRelay(message))
        return;
    const RankOrder order = message.m_order;
    const RankAccess &access = m_rankAccess.at(order.m_rank);
    const ExpertMap *map = message.m_map ? &*message.m_map : nullptr;
    const bool isDirect = this->isDirect(order);
    if (isDirect && map == nullptr)
        deadline = std::min(deadline, Clock::now() + directOrderTimeout);
    m_ordering.push_back(std::make_unique<ShortCall>(
        m_parts.m_loop, m_parts.m_client, isDirect ? access.m_engine : access.m_agent, "POST",
        isDirect ? m_parts.m_dialect.orderTarget() : rankOrderTarget,
        isDirect ? m_parts.m_dialect.writeOrder(order, map, message.m_ranks)
                 : writeRankOrder(message),
        deadline, [this, order](ShortCall &call) { orderAnswered(order, call.status()); }));
    if (m_awaitsOrders)
        ++m_awaitedOrders;
}

// Has a gateway hold the group, since its VM runs no rank. False when that must be done from here.
bool RankCoordinator::giveByRelay(const RankOrderMessage &message)
{
    const RankOrder order = message.m_order;
    const auto relay = order.m_type == RankOrderType::Hold ? m_relays.choose(Clock::now())
                                                           : std::optional<SocketAddress>();
    if (!relay)
        return false;
    m_ordering.push_back(std::make_unique<ShortCall>(
        m_parts.m_loop, m_parts.m_client, *relay, "POST",
        relayPrefix + m_parts.m_dialect.orderTarget(),
        m_parts.m_dialect.writeOrder(order, nullptr, message.m_ranks), Clock::now() + relayTimeout,
        [this, order, relay](ShortCall &call) {
            if (call.status() == 0 || call.status() == statusUnknownThere)
                m_relays.noteFailure(*relay, Clock::now());
            orderAnswered(order, call.status());
        },
        HttpHeaders{{relayToHeader, m_rankAccess.at(order.m_rank).m_engine.toString()}}));
    if (m_awaitsOrders)
        ++m_awaitedOrders;
    return true;
}

} // namespace burdockhead
