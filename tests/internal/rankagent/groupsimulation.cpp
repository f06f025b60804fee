#include "groupsimulation.h"

#include <algorithm>
#include <utility>

namespace burdockhead::test {

namespace {

// Duration of a tick; a step of some 40 ms takes one or two ticks.
constexpr Milliseconds tickTime{25};
// Ticks between two rounds, each of which may start a step.
constexpr std::size_t ticksPerRound = 2;
// Delay of late orders: within a map change, and long after it.
constexpr std::size_t minDelayTicks = 3;
constexpr std::size_t maxDelayTicks = 120;
constexpr std::size_t maxLoadTicks = 8;
// Duration of a freeze, and the part of it after which other coordinators act: longer than all
// orders in flight when it begins, except late ones.
constexpr std::size_t freezeTicks = 200;
constexpr std::size_t unresponsiveTicks = 12;
constexpr std::size_t longHoldTicks = 120;

// The version of the first map, which was taken from a clock that is ahead, and that clock.
constexpr std::uint64_t firstVersion = std::uint64_t(1) << 40;
constexpr std::uint64_t clockAhead = 2 * firstVersion;

// How far snapshots may lag behind the others of their round.
constexpr std::size_t maxLagTicks = 10;

RankSnapshot *findRank(std::vector<RankSnapshot> &snapshots, std::uint32_t rank)
{
    const auto found =
        std::find_if(snapshots.begin(), snapshots.end(),
                     [&](const RankSnapshot &snapshot) { return snapshot.m_rank == rank; });
    return found == snapshots.end() ? nullptr : &*found;
}

bool areRepliesAwaited(const RolloutDecision &decision)
{
    return decision.m_isHoldInProgress && !decision.m_orders.empty()
           && std::all_of(
               decision.m_orders.begin(), decision.m_orders.end(), [](const RankOrder &order) {
                   return order.m_type == RankOrderType::Hold || order.m_type == RankOrderType::Arm;
               });
}

} // namespace

GroupSimulation::GroupSimulation(std::size_t ranks, const GroupFaults &faults, std::uint64_t seed)
    : m_faults(faults)
    , m_random(seed)
    , m_ranks(ranks)
{
    for (Rank &rank : m_ranks)
        rank.m_map.m_version = rank.m_highestVersion = firstVersion;
}

double GroupSimulation::chance()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void GroupSimulation::startStep()
{
    if (m_heldStep == m_step + 1) {
        const bool areOthersArmed = std::all_of(m_ranks.begin() + 1, m_ranks.end(),
                                                [](const Rank &rank) { return rank.m_armed; });
        m_needlessHolds += m_tick - m_heldSinceTick > longHoldTicks && !areOthersArmed ? 1 : 0;
        return;
    }
    m_holdsEndedWhileFrozen += isFrozen() && m_heldSinceTick < m_frozenAtTick ? 1 : 0;
    m_heldSinceTick = m_tick;
    ++m_step;
    for (Rank &rank : m_ranks) {
        if (!rank.m_armed || rank.m_armed->m_step != m_step)
            continue;
        rank.m_map = *rank.m_prepared;
        rank.m_prepared.reset();
        rank.m_armed.reset();
    }
    const auto isDifferent = [&](const Rank &rank) { return rank.m_map != m_ranks.front().m_map; };
    if (std::any_of(m_ranks.begin(), m_ranks.end(), isDifferent))
        m_hasSplit = true;
}

void GroupSimulation::tick()
{
    ++m_tick;
    m_pastSnapshots.push_front(currentSnapshots());
    m_pastSnapshots.resize(std::min(m_pastSnapshots.size(), maxLagTicks));
    for (Rank &rank : m_ranks) {
        if (rank.m_loading && m_tick >= rank.m_loadedAtTick) {
            rank.m_prepared = rank.m_loading;
            rank.m_loading.reset();
        }
    }
    while (!m_lateOrders.empty() && m_lateOrders.begin()->first <= m_tick) {
        const PendingOrder pending = m_lateOrders.begin()->second;
        m_lateOrders.erase(m_lateOrders.begin());
        execute(pending);
    }
    if (m_random() % 3 != 0)
        startStep();
}

// Returns whether the order was executed, as the reply to it states.
bool GroupSimulation::execute(const PendingOrder &pending)
{
    const RankOrder &order = pending.m_order;
    Rank &rank = m_ranks.at(order.m_rank);
    // Orders to a frozen VM are executed when it resumes.
    if (order.m_rank == 0 && isFrozen()) {
        m_lateOrders.emplace(m_frozenUntilTick, pending);
        return false;
    }
    if (order.m_expectedSequence.value_or(rank.m_sequence) != rank.m_sequence)
        return false;
    ++rank.m_sequence;
    switch (order.m_type) {
    case RankOrderType::Prepare:
        if (order.m_version <= rank.m_highestVersion || rank.m_armed)
            return false;
        rank.m_highestVersion = order.m_version;
        rank.m_prepared.reset();
        rank.m_loading = Map{order.m_version, pending.m_contentId};
        rank.m_loadedAtTick = m_tick + m_random() % maxLoadTicks;
        return true;
    case RankOrderType::Arm:
        if (rank.m_prepared && rank.m_prepared->m_version == order.m_version
            && order.m_step > m_step)
            rank.m_armed = ArmedMap{order.m_version, order.m_step};
        return rank.m_armed == ArmedMap{order.m_version, order.m_step};
    case RankOrderType::Disarm:
        if (rank.m_armed && rank.m_armed->m_version == order.m_version)
            rank.m_armed.reset();
        return true;
    case RankOrderType::Hold:
        if (order.m_rank + 1 == m_ranks.size() && order.m_step > m_step && !m_heldStep)
            m_heldStep = order.m_step;
        if (!isFrozen() && chance() < m_faults.m_frozen) {
            // Delayed by some ticks, so that a freeze can hit each phase of a change.
            m_frozenAtTick = m_tick + m_random() % unresponsiveTicks;
            m_frozenUntilTick = m_frozenAtTick + freezeTicks;
        }
        return m_heldStep == order.m_step;
    case RankOrderType::Resume:
        if (order.m_rank + 1 == m_ranks.size() && m_heldStep == order.m_step)
            m_heldStep.reset();
        return true;
    }
    return false;
}

bool GroupSimulation::sendOrder(const RankOrder &order, std::uint64_t contentId)
{
    const PendingOrder pending = {order, contentId};
    const double draw = chance();
    if (draw < m_faults.m_dropped)
        return false;
    if (draw < m_faults.m_dropped + m_faults.m_late) {
        m_lateOrders.emplace(m_tick + minDelayTicks + m_random() % maxDelayTicks, pending);
        return false;
    }
    const bool isDone = execute(pending);
    // An order whose reply is lost may also be duplicated by the network.
    if (chance() >= m_faults.m_replyLost)
        return isDone;
    m_lateOrders.emplace(m_tick + minDelayTicks + m_random() % maxDelayTicks, pending);
    return false;
}

std::vector<RankSnapshot> GroupSimulation::currentSnapshots() const
{
    std::vector<RankSnapshot> snapshots;
    for (std::size_t index = isFrozen() ? 1 : 0; index < m_ranks.size(); ++index) {
        const Rank &rank = m_ranks[index];
        RankSnapshot snapshot;
        snapshot.m_group = "g";
        snapshot.m_epoch = 1;
        snapshot.m_rank = static_cast<std::uint32_t>(index);
        snapshot.m_rankCount = static_cast<std::uint32_t>(m_ranks.size());
        snapshot.m_isGroupRunning = true;
        snapshot.m_step = m_step;
        snapshot.m_mapVersion = rank.m_map.m_version;
        if (rank.m_prepared)
            snapshot.m_preparedVersion = rank.m_prepared->m_version;
        snapshot.m_armed = rank.m_armed;
        if (index + 1 == m_ranks.size())
            snapshot.m_heldStep = m_heldStep;
        snapshot.m_sequence = rank.m_sequence;
        snapshots.push_back(snapshot);
    }
    return snapshots;
}

// Returns snapshots of different times, as when some engines are read from another VM.
std::vector<RankSnapshot> GroupSimulation::snapshots()
{
    std::vector<RankSnapshot> snapshots = currentSnapshots();
    for (RankSnapshot &snapshot : snapshots) {
        if (m_pastSnapshots.empty() || chance() >= m_faults.m_lagging)
            continue;
        auto &past = m_pastSnapshots[m_random() % m_pastSnapshots.size()];
        if (const RankSnapshot *older = findRank(past, snapshot.m_rank))
            snapshot = *older;
    }
    return snapshots;
}

// With freezes, the other coordinators replace the first one while its VM is frozen.
GroupSimulation::Coordinator &GroupSimulation::nextCoordinator()
{
    if (m_faults.m_frozen == 0 || m_coordinators.size() < 2)
        return m_coordinators[m_random() % m_coordinators.size()];
    return isFrozen() ? m_coordinators[1 + m_random() % (m_coordinators.size() - 1)]
                      : m_coordinators.front();
}

GroupSimulation::Coordinator
GroupSimulation::startCoordinator(const std::function<NextOrders()> &makeCoordinator)
{
    Coordinator coordinator;
    coordinator.m_next = makeCoordinator();
    coordinator.m_versions = MapVersionSequence(m_random());
    return coordinator;
}

// Plans a map if there is no plan, with a version that is drawn as coordinators do. In trials of a
// fault, the former plan may be dropped first.
void GroupSimulation::plan(Coordinator &coordinator, const std::vector<RankSnapshot> &snapshots)
{
    if (m_faults.m_clockJump > 0 && chance() < m_faults.m_clockJump)
        coordinator.m_clock = coordinator.m_clock == 0 ? clockAhead : 0;
    if (m_faults.m_droppedPlan > 0 && chance() < m_faults.m_droppedPlan)
        coordinator.m_plannedVersion.reset();
    coordinator.m_versions.observe(MapRollout::nextVersion(snapshots) - 1);
    if (coordinator.m_plannedVersion)
        return;
    coordinator.m_plannedVersion = coordinator.m_versions.next(0, coordinator.m_clock);
    coordinator.m_contentId = ++m_contentId;
}

void GroupSimulation::round()
{
    if (m_faults.m_frozen > 0 && isFrozen()
        && (m_coordinators.size() < 2 || m_tick < m_frozenAtTick + unresponsiveTicks))
        return;
    Coordinator &coordinator = nextCoordinator();
    const bool isStale = !coordinator.m_staleSnapshots.empty() && chance() < m_faults.m_staleRounds;
    std::vector<RankSnapshot> current = isStale ? coordinator.m_staleSnapshots : snapshots();
    std::size_t snapshotsTick = isStale ? coordinator.m_staleSnapshotsTick : m_tick;
    if (!coordinator.m_repliedSnapshots.empty()) {
        current = std::exchange(coordinator.m_repliedSnapshots, {});
        snapshotsTick = coordinator.m_repliedSnapshotsTick;
    }
    if (!isStale || m_random() % 4 == 0) {
        coordinator.m_staleSnapshots = snapshots();
        coordinator.m_staleSnapshotsTick = m_tick;
    }
    plan(coordinator, current);
    const Milliseconds age = tickTime * static_cast<int>(m_tick - snapshotsTick);
    const RolloutDecision decision = coordinator.m_next(current, coordinator.m_plannedVersion, age);
    if (decision.m_needsPlan || decision.m_isDone) {
        m_mapChanges += decision.m_isDone ? 1 : 0;
        coordinator.m_plannedVersion.reset();
        return;
    }
    sendOrders(coordinator, decision, std::move(current), snapshotsTick);
}

// Sends a round's orders and handles their replies and those that are late.
void GroupSimulation::sendOrders(Coordinator &coordinator, const RolloutDecision &decision,
                                 std::vector<RankSnapshot> current, std::size_t snapshotsTick)
{
    const bool isAwaited = areRepliesAwaited(decision);
    const std::uint64_t round = ++coordinator.m_round;
    coordinator.m_replies.end();
    if (isAwaited)
        coordinator.m_replies.begin(round);
    for (std::size_t index = 0; isAwaited && index < decision.m_orders.size(); ++index)
        coordinator.m_replies.expect();
    const auto lateReplies = std::exchange(coordinator.m_lateReplies, {});
    for (const LateReply &late : lateReplies)
        coordinator.m_replies.onReply(late.m_round, late.m_order, late.m_isDone,
                                      findRank(current, late.m_order.m_rank));
    OrderProgress progress = OrderProgress::Ignored;
    for (const RankOrder &order : decision.m_orders) {
        const bool isDone = sendOrder(order, coordinator.m_contentId);
        if (chance() < m_faults.m_lateReply)
            coordinator.m_lateReplies.push_back({round, order, isDone});
        else
            progress = coordinator.m_replies.onReply(round, order, isDone,
                                                     findRank(current, order.m_rank));
        if (m_random() % 2 == 0)
            tick();
    }
    if (progress == OrderProgress::AwaitingHold)
        current.back() = currentSnapshots().back();
    if (progress == OrderProgress::AwaitingHold || progress == OrderProgress::Done) {
        coordinator.m_repliedSnapshots = std::move(current);
        coordinator.m_repliedSnapshotsTick = snapshotsTick;
    }
}

void GroupSimulation::run(std::size_t rounds, const std::function<NextOrders()> &makeCoordinator)
{
    m_coordinators.resize(m_faults.m_coordinators);
    for (Coordinator &coordinator : m_coordinators)
        coordinator = startCoordinator(makeCoordinator);
    for (std::size_t index = 0; index < rounds && !m_hasSplit; ++index) {
        if (chance() < m_faults.m_restart)
            m_coordinators[m_random() % m_coordinators.size()] = startCoordinator(makeCoordinator);
        round();
        for (std::size_t ticks = 0; ticks < ticksPerRound; ++ticks)
            tick();
    }
}

bool GroupSimulation::recovers(const std::function<NextOrders()> &makeCoordinator)
{
    constexpr std::size_t rounds = 300;
    constexpr std::uint64_t steps = 20;
    m_faults = {};
    run(rounds, makeCoordinator);
    const std::uint64_t before = m_step;
    run(rounds, makeCoordinator);
    return m_step > before + steps;
}

} // namespace burdockhead::test
