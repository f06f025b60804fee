#include "rolloutsearch.h"

#include <burdockhead/rankagent/orderreplies.h>

#include <absl/container/inlined_vector.h>
#include <absl/container/node_hash_map.h>
#include <absl/hash/hash.h>

#include <algorithm>
#include <array>
#include <deque>
#include <utility>

namespace burdockhead::test {

namespace {

constexpr std::size_t rankCount = 3;
constexpr std::size_t holder = rankCount - 1;
constexpr std::size_t maxCoordinators = 3;
constexpr std::uint8_t allRanks = (1U << rankCount) - 1;
constexpr std::uint8_t none = 0; // Plans and steps of changes begin at 1.
constexpr std::size_t maxPlans = 4;
constexpr std::uint64_t firstVersion = std::uint64_t(1)
                                       << 40; // Of the map that is active at first.
constexpr std::uint64_t clockBehind = 0;
constexpr std::uint64_t clockAhead = 2 * firstVersion;
constexpr std::uint64_t middleSeed = 100;
constexpr std::uint64_t awaitedRound = 1;
constexpr std::uint64_t unawaitedRound = 2;
constexpr std::uint64_t strayRound = 0; // Of orders that were given up, and of copies.

// State of a rank with the group's step at that time. Maps are given as the plans that they come
// from, 0 for the first map; State::m_versions has their versions.
struct Rank
{
    std::uint8_t m_step = 1;
    std::uint8_t m_map = 0;
    std::uint8_t m_prepared = none;
    std::uint8_t m_armed = none;
    std::uint8_t m_armedStep = none;
    std::uint8_t m_held = none;
    std::uint8_t m_highest = 0;
    std::uint8_t m_loading = none; // Not reported.
    std::uint8_t m_sequence = 0;

    friend bool operator==(const Rank &, const Rank &) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const Rank &rank)
    {
        return Hash::combine(std::move(hash), rank.m_step, rank.m_map, rank.m_prepared,
                             rank.m_armed, rank.m_armedStep, rank.m_held, rank.m_highest,
                             rank.m_loading, rank.m_sequence);
    }
};

struct FlyingOrder
{
    RankOrderType m_type = RankOrderType::Prepare;
    std::uint8_t m_coordinator = 0;
    std::uint8_t m_round = strayRound;
    std::uint8_t m_rank = 0;
    std::uint8_t m_plan = none; // Whose version it names.
    std::uint8_t m_step = none;
    std::uint8_t m_hasExpected = 0;
    std::uint8_t m_expected = 0;

    friend auto operator<=>(const FlyingOrder &, const FlyingOrder &) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const FlyingOrder &order)
    {
        return Hash::combine(std::move(hash), order.m_type, order.m_coordinator, order.m_round,
                             order.m_rank, order.m_plan, order.m_step, order.m_hasExpected,
                             order.m_expected);
    }
};

enum class Phase : std::uint8_t { Polling, AwaitingReplies, ConfirmingHold };

struct Coordinator
{
    MapRollout m_rollout;
    // Seeded with its first plan, and what it has heard of before.
    MapVersionSequence m_versions{0};
    bool m_isSeeded = false;
    std::uint64_t m_highestVersion = 0;
    std::uint64_t m_clock = clockBehind;
    OrderReplies m_replies;
    Phase m_phase = Phase::Polling;
    std::uint8_t m_planned = none;
    std::uint8_t m_polled = 0; // Bits of the ranks that have been asked in this round.
    std::uint8_t m_known = 0;  // Bits of those that answered.
    std::array<Rank, rankCount> m_view;

    friend bool operator==(const Coordinator &, const Coordinator &) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const Coordinator &coordinator)
    {
        return Hash::combine(std::move(hash), coordinator.m_rollout, coordinator.m_versions,
                             coordinator.m_isSeeded, coordinator.m_highestVersion,
                             coordinator.m_clock, coordinator.m_replies, coordinator.m_phase,
                             coordinator.m_planned, coordinator.m_polled, coordinator.m_known,
                             coordinator.m_view);
    }
};

struct State
{
    std::array<Rank, rankCount> m_ranks;
    Rank m_laggingRank1;
    std::array<Coordinator, maxCoordinators> m_coordinators;
    absl::InlinedVector<FlyingOrder, 8> m_orders;                        // Sorted.
    std::array<std::uint64_t, maxPlans + 1> m_versions = {firstVersion}; // Of each plan's map.
    std::uint8_t m_plans = 0;
    std::uint8_t m_doubledOrders = 0;
    std::uint8_t m_restarts = 0;
    std::uint8_t m_droppedPlans = 0;
    std::uint8_t m_clockJumps = 0;
    bool m_isSplit = false;

    friend bool operator==(const State &, const State &) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const State &state)
    {
        return Hash::combine(std::move(hash), state.m_ranks, state.m_laggingRank1,
                             state.m_coordinators, state.m_orders, state.m_versions, state.m_plans,
                             state.m_doubledOrders, state.m_restarts, state.m_droppedPlans,
                             state.m_clockJumps, state.m_isSplit);
    }
};

struct Successor
{
    std::string m_event;
    State m_state;
};

std::optional<std::uint64_t> optionalOf(std::uint8_t value)
{
    return value == none ? std::nullopt : std::optional<std::uint64_t>(value);
}

std::optional<std::uint64_t> versionOf(const State &state, std::uint8_t plan)
{
    return plan == none ? std::nullopt : std::optional(state.m_versions[plan]);
}

// Returns a plan with that version.
std::uint8_t planOf(const State &state, std::uint64_t version)
{
    const auto end = state.m_versions.begin() + state.m_plans + 1;
    const auto plan = std::find(state.m_versions.begin(), end, version);
    return plan == end ? none : static_cast<std::uint8_t>(plan - state.m_versions.begin());
}

// Returns what a rank reports.
Rank reportOf(Rank rank)
{
    rank.m_highest = 0;
    rank.m_loading = none;
    return rank;
}

RankSnapshot snapshotOf(const State &state, std::size_t number, const Rank &rank, bool hasSequence)
{
    RankSnapshot snapshot;
    snapshot.m_epoch = 1;
    snapshot.m_rank = static_cast<std::uint32_t>(number);
    snapshot.m_rankCount = rankCount;
    snapshot.m_isGroupRunning = true;
    snapshot.m_step = rank.m_step;
    snapshot.m_mapVersion = state.m_versions[rank.m_map];
    snapshot.m_preparedVersion = versionOf(state, rank.m_prepared);
    if (rank.m_armed != none)
        snapshot.m_armed = ArmedMap{state.m_versions[rank.m_armed], rank.m_armedStep};
    snapshot.m_heldStep = optionalOf(rank.m_held);
    if (hasSequence)
        snapshot.m_sequence = rank.m_sequence;
    return snapshot;
}

std::string toText(const Rank &rank)
{
    std::string text = "map " + std::to_string(rank.m_map);
    if (rank.m_prepared != none)
        text += ", prepared " + std::to_string(rank.m_prepared);
    if (rank.m_armed != none)
        text += ", armed " + std::to_string(rank.m_armed) + " at step "
                + std::to_string(rank.m_armedStep);
    if (rank.m_held != none)
        text += ", holds step " + std::to_string(rank.m_held);
    return text;
}

std::string toText(const FlyingOrder &order)
{
    std::string text =
        std::string(toString(order.m_type)) + " at rank " + std::to_string(order.m_rank);
    if (order.m_plan != none)
        text += ", map " + std::to_string(order.m_plan);
    if (order.m_step != none)
        text += ", step " + std::to_string(order.m_step);
    return text + ", from coordinator " + std::to_string(order.m_coordinator);
}

// Expands the states of one search.
class Expander
{
public:
    Expander(const SearchBounds &bounds, const RolloutRound &round,
             const VersionSource &drawVersion)
        : m_bounds(bounds)
        , m_round(round)
        , m_drawVersion(drawVersion)
    {}

    std::vector<Successor> successorsOf(const State &state);

private:
    bool isWithinLateOrders(const State &state, std::size_t coordinator) const;
    void startStep(const State &state);
    void carryOutOrders(const State &state);
    void poll(const State &state, std::size_t number);
    void addPoll(const State &state, std::size_t number, std::size_t rank, const Rank *answer,
                 const std::string &age);
    void confirmHold(const State &state, std::size_t number);
    void giveUp(const State &state, std::size_t number);
    void restart(const State &state, std::size_t number);
    void catchUp(const State &state);
    void finishLoads(const State &state);
    void dropPlan(const State &state, std::size_t number);
    void jumpClock(const State &state, std::size_t number);
    void plan(State &state, std::size_t number, const std::vector<RankSnapshot> &snapshots) const;
    bool execute(State &state, const FlyingOrder &order) const;
    void reply(State &state, const FlyingOrder &order, bool isDone);
    void decide(State &state, std::size_t number);
    void send(State &state, std::size_t number, const RolloutDecision &decision) const;
    void add(std::string event, State state);

    const SearchBounds &m_bounds;
    const RolloutRound &m_round;
    const VersionSource &m_drawVersion;
    std::vector<Successor> m_successors;
};

// Whether an order that nobody waits for is refused, or changes nothing, whenever it arrives.
bool isWithoutEffect(const State &state, const FlyingOrder &order)
{
    if (order.m_round != strayRound)
        return false;
    const Rank &rank = state.m_ranks[order.m_rank];
    const std::uint64_t version = state.m_versions[order.m_plan];
    const std::uint64_t highest = state.m_versions[rank.m_highest];
    switch (order.m_type) {
    case RankOrderType::Prepare:
        return version <= highest;
    case RankOrderType::Arm:
        return order.m_step <= rank.m_step || version < highest;
    case RankOrderType::Disarm:
        return version < highest && version != state.m_versions[rank.m_armed];
    case RankOrderType::Hold:
        return order.m_step <= rank.m_step;
    case RankOrderType::Resume:
        return order.m_step <= rank.m_step
               || (order.m_hasExpected != 0 && order.m_expected < rank.m_sequence);
    }
    return false;
}

// Orders coordinators by their state, since it doesn't matter which of them is in which.
void sortCoordinators(State &state, std::size_t count)
{
    using Key = std::pair<std::size_t, std::size_t>; // Hash of the state, former number.
    absl::InlinedVector<Key, maxCoordinators> keys;
    for (std::size_t number = 0; number < count; ++number) {
        absl::InlinedVector<FlyingOrder, 8> orders;
        for (FlyingOrder order : state.m_orders) {
            if (order.m_coordinator != number)
                continue;
            order.m_coordinator = 0;
            orders.push_back(order);
        }
        keys.emplace_back(absl::HashOf(state.m_coordinators[number], orders), number);
    }
    std::sort(keys.begin(), keys.end());
    const auto coordinators = state.m_coordinators;
    std::array<std::uint8_t, maxCoordinators> numbers = {};
    for (std::size_t number = 0; number < count; ++number) {
        state.m_coordinators[number] = coordinators[keys[number].second];
        numbers[keys[number].second] = static_cast<std::uint8_t>(number);
    }
    for (FlyingOrder &order : state.m_orders)
        order.m_coordinator = numbers[order.m_coordinator];
}

// Adds a successor in a form that is the same for states that differ in nothing that matters.
void Expander::add(std::string event, State state)
{
    const auto ended =
        std::remove_if(state.m_orders.begin(), state.m_orders.end(),
                       [&](const FlyingOrder &order) { return isWithoutEffect(state, order); });
    state.m_orders.erase(ended, state.m_orders.end());
    for (Coordinator &coordinator : state.m_coordinators) {
        if (state.m_plans == m_bounds.m_plans)
            coordinator.m_highestVersion = 0;
    }
    if (m_bounds.m_areCoordinatorsAlike) {
        for (FlyingOrder &order : state.m_orders)
            order.m_coordinator = order.m_round == strayRound ? 0 : order.m_coordinator;
        sortCoordinators(state, m_bounds.m_coordinators);
    }
    std::sort(state.m_orders.begin(), state.m_orders.end());
    m_successors.push_back({std::move(event), std::move(state)});
}

std::vector<Successor> Expander::successorsOf(const State &state)
{
    m_successors.clear();
    if (state.m_ranks.front().m_step == m_bounds.m_lastStep)
        return {};
    startStep(state);
    carryOutOrders(state);
    if (m_bounds.m_isRank1Lagging)
        catchUp(state);
    finishLoads(state);
    for (std::size_t number = 0; number < m_bounds.m_coordinators; ++number) {
        switch (state.m_coordinators[number].m_phase) {
        case Phase::Polling:
            poll(state, number);
            break;
        case Phase::AwaitingReplies:
            giveUp(state, number);
            break;
        case Phase::ConfirmingHold:
            confirmHold(state, number);
            giveUp(state, number);
            break;
        }
        restart(state, number);
        dropPlan(state, number);
        jumpClock(state, number);
    }
    return std::move(m_successors);
}

void Expander::startStep(const State &state)
{
    const std::uint8_t step = state.m_ranks.front().m_step + 1;
    if (state.m_ranks[holder].m_held == step)
        return;
    State next = state;
    for (Rank &rank : next.m_ranks) {
        rank.m_step = step;
        if (rank.m_armedStep != step)
            continue;
        rank.m_map = rank.m_prepared;
        rank.m_prepared = rank.m_armed = rank.m_armedStep = none;
    }
    next.m_isSplit = std::any_of(next.m_ranks.begin(), next.m_ranks.end(), [&](const Rank &rank) {
        return rank.m_map != next.m_ranks.front().m_map;
    });
    std::string event = "step " + std::to_string(step) + " starts with maps";
    for (const Rank &rank : next.m_ranks)
        event += " " + std::to_string(rank.m_map);
    add(std::move(event), std::move(next));
}

// Returns whether the coordinator may go on: only so many of all orders may be late.
bool Expander::isWithinLateOrders(const State &state, std::size_t coordinator) const
{
    std::size_t own = 0;
    std::size_t strays = 0;
    for (const FlyingOrder &order : state.m_orders) {
        const bool isStray = order.m_round == strayRound;
        own += !isStray && order.m_coordinator == coordinator ? 1 : 0;
        strays += isStray ? 1 : 0;
    }
    return own == 0 || own + strays <= m_bounds.m_lateOrders;
}

void Expander::carryOutOrders(const State &state)
{
    for (std::size_t index = 0; index < state.m_orders.size(); ++index) {
        const FlyingOrder order = state.m_orders[index];
        if (index > 0 && order == state.m_orders[index - 1])
            continue;
        State next = state;
        next.m_orders.erase(next.m_orders.begin() + static_cast<std::ptrdiff_t>(index));
        const bool isDone = execute(next, order);
        reply(next, order, isDone);
        add(toText(order) + (isDone ? "" : ": refused"), next);
        if (state.m_doubledOrders == m_bounds.m_doubledOrders)
            continue;
        ++next.m_doubledOrders;
        next.m_orders.push_back(order);
        next.m_orders.back().m_round = strayRound;
        add(toText(order) + ", doubled", std::move(next));
    }
}

bool Expander::execute(State &state, const FlyingOrder &order) const
{
    Rank &rank = state.m_ranks[order.m_rank];
    if (order.m_hasExpected != 0 && order.m_expected != rank.m_sequence)
        return false;
    const Rank before = rank;
    const std::uint64_t version = state.m_versions[order.m_plan];
    switch (order.m_type) {
    case RankOrderType::Prepare:
        if (version <= state.m_versions[rank.m_highest] || rank.m_armed != none)
            return false;
        rank.m_highest = order.m_plan;
        rank.m_prepared = m_bounds.m_areLoadsSlow ? none : order.m_plan;
        rank.m_loading = m_bounds.m_areLoadsSlow ? order.m_plan : none;
        break;
    case RankOrderType::Arm:
        if (versionOf(state, rank.m_prepared) != version || order.m_step <= rank.m_step)
            return false;
        rank.m_armed = rank.m_prepared;
        rank.m_armedStep = order.m_step;
        break;
    case RankOrderType::Disarm:
        if (state.m_versions[rank.m_map] == version)
            return false;
        if (versionOf(state, rank.m_armed) == version)
            rank.m_armed = rank.m_armedStep = none;
        break;
    case RankOrderType::Hold:
        if (order.m_step <= rank.m_step
            || (rank.m_held > rank.m_step && rank.m_held != order.m_step))
            return false;
        rank.m_held = order.m_step;
        break;
    case RankOrderType::Resume:
        if (rank.m_held == order.m_step)
            rank.m_held = none;
        break;
    }
    // Only orders to resume at the holder name a number of orders.
    if (m_bounds.m_isRank0Silent && order.m_rank == holder && rank != before)
        ++rank.m_sequence;
    return true;
}

void Expander::reply(State &state, const FlyingOrder &order, bool isDone)
{
    Coordinator &coordinator = state.m_coordinators[order.m_coordinator];
    const bool isKnown = (coordinator.m_known & (1U << order.m_rank)) != 0;
    RankSnapshot snapshot =
        snapshotOf(state, order.m_rank, coordinator.m_view[order.m_rank], m_bounds.m_isRank0Silent);
    const RankOrder replied = {order.m_rank, order.m_type, 1,
                               versionOf(state, order.m_plan).value_or(0), order.m_step};
    const OrderProgress progress = coordinator.m_replies.onReply(order.m_round, replied, isDone,
                                                                 isKnown ? &snapshot : nullptr);
    if (snapshot.m_armed) {
        coordinator.m_view[order.m_rank].m_armed = planOf(state, snapshot.m_armed->m_version);
        coordinator.m_view[order.m_rank].m_armedStep =
            static_cast<std::uint8_t>(snapshot.m_armed->m_step);
    }
    if (progress == OrderProgress::Done) {
        decide(state, order.m_coordinator);
    } else if (progress == OrderProgress::AwaitingHold) {
        coordinator.m_phase = Phase::ConfirmingHold;
    } else if (progress == OrderProgress::Failed) {
        coordinator.m_phase = Phase::Polling;
        coordinator.m_polled = coordinator.m_known = 0;
    }
}

void Expander::poll(const State &state, std::size_t number)
{
    if (!isWithinLateOrders(state, number))
        return;
    const Coordinator &coordinator = state.m_coordinators[number];
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        if ((coordinator.m_polled & (1U << rank)) != 0)
            continue;
        addPoll(state, number, rank, &state.m_ranks[rank], "");
        if (rank == 1 && m_bounds.m_isRank1Lagging && state.m_laggingRank1 != state.m_ranks[1])
            addPoll(state, number, rank, &state.m_laggingRank1, "an old state of ");
        if (rank == 0 && m_bounds.m_isRank0Silent)
            addPoll(state, number, rank, nullptr, "");
    }
}

void Expander::addPoll(const State &state, std::size_t number, std::size_t rank, const Rank *answer,
                       const std::string &age)
{
    State next = state;
    Coordinator &coordinator = next.m_coordinators[number];
    // What is still in flight has been given up.
    for (FlyingOrder &order : next.m_orders) {
        if (order.m_coordinator == number)
            order.m_round = strayRound;
    }
    coordinator.m_polled |= 1U << rank;
    coordinator.m_view[rank] = answer != nullptr ? reportOf(*answer) : Rank();
    if (answer != nullptr)
        coordinator.m_known |= 1U << rank;
    std::string event = "coordinator " + std::to_string(number) + " reads " + age + "rank "
                        + std::to_string(rank) + ": "
                        + (answer != nullptr ? toText(*answer) : "no answer");
    if (coordinator.m_polled == allRanks)
        decide(next, number);
    add(std::move(event), std::move(next));
}

void Expander::confirmHold(const State &state, std::size_t number)
{
    State next = state;
    next.m_coordinators[number].m_view[holder] = reportOf(state.m_ranks[holder]);
    decide(next, number);
    add("coordinator " + std::to_string(number)
            + " reads the holder again: " + toText(state.m_ranks[holder]),
        std::move(next));
}

void Expander::giveUp(const State &state, std::size_t number)
{
    if (!isWithinLateOrders(state, number))
        return;
    State next = state;
    Coordinator &coordinator = next.m_coordinators[number];
    coordinator.m_replies = OrderReplies();
    coordinator.m_phase = Phase::Polling;
    coordinator.m_polled = coordinator.m_known = 0;
    coordinator.m_view = {};
    for (FlyingOrder &order : next.m_orders) {
        if (order.m_coordinator == number)
            order.m_round = strayRound;
    }
    add("coordinator " + std::to_string(number) + " starts another round", std::move(next));
}

void Expander::restart(const State &state, std::size_t number)
{
    Coordinator started;
    started.m_clock = state.m_coordinators[number].m_clock;
    if (state.m_restarts == m_bounds.m_restarts || !isWithinLateOrders(state, number)
        || state.m_coordinators[number] == started)
        return;
    State next = state;
    ++next.m_restarts;
    for (FlyingOrder &order : next.m_orders) {
        if (order.m_coordinator == number)
            order.m_round = strayRound;
    }
    next.m_coordinators[number] = started;
    add("coordinator " + std::to_string(number) + " ends, and another takes its place",
        std::move(next));
}

void Expander::finishLoads(const State &state)
{
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        const std::uint8_t loading = state.m_ranks[rank].m_loading;
        if (loading == none)
            continue;
        State next = state;
        next.m_ranks[rank].m_prepared = loading;
        next.m_ranks[rank].m_loading = none;
        add("rank " + std::to_string(rank) + " has loaded map " + std::to_string(loading),
            std::move(next));
    }
}

// A coordinator plans another map in the next round, since the demand has changed.
void Expander::dropPlan(const State &state, std::size_t number)
{
    const Coordinator &coordinator = state.m_coordinators[number];
    if (state.m_droppedPlans == m_bounds.m_droppedPlans || state.m_plans == m_bounds.m_plans
        || coordinator.m_planned == none || coordinator.m_phase != Phase::Polling)
        return;
    State next = state;
    ++next.m_droppedPlans;
    next.m_coordinators[number].m_planned = none;
    add("coordinator " + std::to_string(number) + " drops map "
            + std::to_string(coordinator.m_planned),
        std::move(next));
}

void Expander::jumpClock(const State &state, std::size_t number)
{
    if (state.m_clockJumps == m_bounds.m_clockJumps || state.m_plans == m_bounds.m_plans)
        return;
    State next = state;
    ++next.m_clockJumps;
    std::uint64_t &clock = next.m_coordinators[number].m_clock;
    clock = clock == clockBehind ? clockAhead : clockBehind;
    add("the clock of coordinator " + std::to_string(number) + " jumps "
            + (clock == clockBehind ? "back" : "ahead"),
        std::move(next));
}

void Expander::catchUp(const State &state)
{
    if (state.m_laggingRank1 == state.m_ranks[1])
        return;
    State next = state;
    next.m_laggingRank1 = state.m_ranks[1];
    add("the lagging state of rank 1 catches up", std::move(next));
}

// A coordinator plans a map when it has none, and another one when the rollout needs it, as long as
// there are maps left.
void Expander::decide(State &state, std::size_t number)
{
    Coordinator &coordinator = state.m_coordinators[number];
    std::vector<RankSnapshot> snapshots;
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        if ((coordinator.m_known & (1U << rank)) != 0)
            snapshots.push_back(
                snapshotOf(state, rank, coordinator.m_view[rank], m_bounds.m_isRank0Silent));
    }
    coordinator.m_highestVersion =
        std::max(coordinator.m_highestVersion, MapRollout::nextVersion(snapshots) - 1);
    const bool isComplete = snapshots.size() == rankCount;
    if (coordinator.m_planned == none && isComplete)
        plan(state, number, snapshots);
    const RolloutDecision decision =
        m_round(coordinator.m_rollout, snapshots, versionOf(state, coordinator.m_planned));
    if (decision.m_needsPlan || decision.m_isDone) {
        coordinator.m_planned = none;
        if (decision.m_needsPlan && decision.m_isHoldInProgress)
            plan(state, number, snapshots);
    }
    coordinator.m_replies = OrderReplies();
    send(state, number, decision);
}

void Expander::plan(State &state, std::size_t number,
                    const std::vector<RankSnapshot> &snapshots) const
{
    if (state.m_plans == m_bounds.m_plans)
        return;
    Coordinator &coordinator = state.m_coordinators[number];
    coordinator.m_planned = ++state.m_plans;
    if (!std::exchange(coordinator.m_isSeeded, true))
        coordinator.m_versions = MapVersionSequence(
            m_bounds.m_areSeedsAscending ? middleSeed + state.m_plans : middleSeed - state.m_plans);
    coordinator.m_versions.observe(coordinator.m_highestVersion);
    state.m_versions[coordinator.m_planned] =
        m_drawVersion(coordinator.m_versions, snapshots, coordinator.m_clock);
    if (state.m_plans < m_bounds.m_plans)
        return;
    // What matters to further plans only.
    for (Coordinator &other : state.m_coordinators) {
        other.m_versions = MapVersionSequence(0);
        other.m_isSeeded = false;
        other.m_clock = clockBehind;
    }
}

void Expander::send(State &state, std::size_t number, const RolloutDecision &decision) const
{
    Coordinator &coordinator = state.m_coordinators[number];
    const bool isAwaited = decision.m_isHoldInProgress && !decision.m_orders.empty()
                           && std::all_of(decision.m_orders.begin(), decision.m_orders.end(),
                                          [](const RankOrder &order) {
                                              return order.m_type == RankOrderType::Hold
                                                     || order.m_type == RankOrderType::Arm;
                                          });
    if (isAwaited)
        coordinator.m_replies.begin(awaitedRound);
    for (const RankOrder &order : decision.m_orders) {
        FlyingOrder flying = {order.m_type,
                              static_cast<std::uint8_t>(number),
                              static_cast<std::uint8_t>(isAwaited ? awaitedRound : unawaitedRound),
                              static_cast<std::uint8_t>(order.m_rank),
                              order.m_type == RankOrderType::Prepare
                                  ? coordinator.m_planned
                                  : planOf(state, order.m_version),
                              static_cast<std::uint8_t>(order.m_step),
                              static_cast<std::uint8_t>(order.m_expectedSequence ? 1 : 0),
                              static_cast<std::uint8_t>(order.m_expectedSequence.value_or(0))};
        state.m_orders.push_back(flying);
        coordinator.m_replies.expect();
    }
    if (!isAwaited)
        coordinator.m_replies = OrderReplies();
    coordinator.m_phase = isAwaited ? Phase::AwaitingReplies : Phase::Polling;
    if (!isAwaited) {
        coordinator.m_view = {};
        coordinator.m_polled = coordinator.m_known = 0;
    }
}

} // namespace

namespace {

State firstState(const SearchBounds &bounds)
{
    State state;
    if (bounds.m_firstClock == SearchClock::Ahead)
        state.m_coordinators.front().m_clock = clockAhead;
    if (!bounds.m_isHeldAtFirst)
        return state;
    state.m_plans = 1;
    state.m_versions[1] = firstVersion + 1;
    for (Rank &rank : state.m_ranks)
        rank.m_prepared = rank.m_highest = 1;
    state.m_ranks[holder].m_held = 2;
    state.m_laggingRank1 = state.m_ranks[1];
    return state;
}

} // namespace

std::uint64_t drawVersion(MapVersionSequence &versions, const std::vector<RankSnapshot> &,
                          std::uint64_t wallMicroseconds)
{
    return versions.next(0, wallMicroseconds);
}

SearchResult searchRollout(const SearchBounds &bounds, const RolloutRound &round,
                           const VersionSource &drawVersion)
{
    Expander expander(bounds, round, drawVersion);
    absl::node_hash_map<State, const State *> parents; // Visited states, and how they were reached.
    std::deque<const State *> queue;
    queue.push_back(&parents.try_emplace(firstState(bounds), nullptr).first->first);
    SearchResult result;
    const State *split = nullptr;
    while (!queue.empty() && split == nullptr && parents.size() < bounds.m_maxStates) {
        const State *state = queue.front();
        queue.pop_front();
        for (Successor &successor : expander.successorsOf(*state)) {
            const auto [visited, isNew] = parents.try_emplace(std::move(successor.m_state), state);
            if (!isNew)
                continue;
            queue.push_back(&visited->first);
            if (visited->first.m_isSplit)
                split = &visited->first;
        }
    }
    result.m_states = parents.size();
    result.m_isExhausted = queue.empty();
    for (const State *state = split; state != nullptr && parents.at(*state) != nullptr;
         state = parents.at(*state)) {
        for (const Successor &successor : expander.successorsOf(*parents.at(*state))) {
            if (successor.m_state == *state) {
                result.m_trace.insert(result.m_trace.begin(), successor.m_event);
                break;
            }
        }
    }
    return result;
}

} // namespace burdockhead::test
