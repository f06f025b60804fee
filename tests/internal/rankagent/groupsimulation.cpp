#include "groupsimulation.h"

#include <algorithm>
#include <utility>

namespace burdockhead::test {

namespace {

// A moment, as a part of a step of some 40 ms, which one or two of them make.
constexpr Milliseconds moment{25};
// Moments of the simulation between two rounds, each of which may begin a step.
constexpr std::size_t ticksPerRound = 2;
// When a late order is carried out, in moments: within, and long after, a whole change.
constexpr std::size_t shortestDelay = 3;
constexpr std::size_t longestDelay = 120;
constexpr std::size_t longestLoading = 8;
// How long a freeze lasts, and its part after which other coordinators act: longer than all
// orders that are under way when it begins, except those that are carried out late.
constexpr std::size_t freezeTime = 200;
constexpr std::size_t silenceTime = 12;
constexpr std::size_t longHold = 120;

// Changes the rank's view as the answer to an order to hold or arm tells; false for other orders.
bool noteDone(const RankOrder &order, std::vector<RankView> &views)
{
    for (RankView &view : views) {
        if (view.m_rank != order.m_rank)
            continue;
        if (order.m_type == RankOrderType::Hold)
            view.m_held = order.m_step;
        if (order.m_type == RankOrderType::Arm)
            view.m_armed = ArmedMap{order.m_version, order.m_step};
    }
    return order.m_type == RankOrderType::Hold || order.m_type == RankOrderType::Arm;
}

} // namespace

GroupSimulation::GroupSimulation(std::size_t ranks, const GroupFaults &faults, std::uint64_t seed)
    : m_faults(faults)
    , m_random(seed)
    , m_ranks(ranks)
{}

double GroupSimulation::chance()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

void GroupSimulation::beginStep()
{
    if (m_held == m_step + 1) {
        const bool areArmed = std::all_of(m_ranks.begin() + 1, m_ranks.end(),
                                          [](const Rank &rank) { return rank.m_armed; });
        m_needlessHolds += m_now - m_heldSince > longHold && !areArmed ? 1 : 0;
        return;
    }
    m_holdsEndedWhileFrozen += isFrozen() && m_heldSince < m_frozenAt ? 1 : 0;
    m_heldSince = m_now;
    ++m_step;
    for (Rank &rank : m_ranks) {
        if (!rank.m_armed || rank.m_armed->m_step != m_step)
            continue;
        rank.m_map = *rank.m_prepared;
        rank.m_prepared.reset();
        rank.m_armed.reset();
    }
    const auto isOther = [&](const Rank &rank) { return rank.m_map != m_ranks.front().m_map; };
    if (std::any_of(m_ranks.begin(), m_ranks.end(), isOther))
        m_hasSplit = true;
}

void GroupSimulation::tick()
{
    ++m_now;
    for (Rank &rank : m_ranks) {
        if (rank.m_loading && m_now >= rank.m_loadedAt) {
            rank.m_prepared = rank.m_loading;
            rank.m_loading.reset();
        }
    }
    while (!m_late.empty() && m_late.begin()->first <= m_now) {
        const Pending pending = m_late.begin()->second;
        m_late.erase(m_late.begin());
        carryOut(pending);
    }
    if (m_random() % 3 != 0)
        beginStep();
}

// True when the order was carried out, as the answer to it says.
bool GroupSimulation::carryOut(const Pending &pending)
{
    const RankOrder &order = pending.m_order;
    Rank &rank = m_ranks.at(order.m_rank);
    // What reaches a frozen VM is read when it wakes.
    if (order.m_rank == 0 && isFrozen()) {
        m_late.emplace(m_frozenUntil, pending);
        return false;
    }
    switch (order.m_type) {
    case RankOrderType::Prepare:
        if (order.m_version <= rank.m_highestVersion || rank.m_armed)
            return false;
        rank.m_highestVersion = order.m_version;
        rank.m_prepared.reset();
        rank.m_loading = Map{order.m_version, pending.m_content};
        rank.m_loadedAt = m_now + m_random() % longestLoading;
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
        if (order.m_rank + 1 == m_ranks.size() && order.m_step > m_step && !m_held)
            m_held = order.m_step;
        if (!isFrozen() && chance() < m_faults.m_frozen) {
            // Some moments later, so that each part of a change is met.
            m_frozenAt = m_now + m_random() % silenceTime;
            m_frozenUntil = m_frozenAt + freezeTime;
        }
        return m_held == order.m_step;
    case RankOrderType::Go:
        if (order.m_rank + 1 == m_ranks.size() && m_held == order.m_step)
            m_held.reset();
        return true;
    }
    return false;
}

bool GroupSimulation::give(const RankOrder &order, std::uint64_t content)
{
    const Pending pending = {order, content};
    const double fate = chance();
    if (fate < m_faults.m_dropped)
        return false;
    if (fate < m_faults.m_dropped + m_faults.m_late) {
        m_late.emplace(m_now + shortestDelay + m_random() % longestDelay, pending);
        return false;
    }
    const bool isDone = carryOut(pending);
    // An order whose answer is lost may be given twice by the network as well.
    if (chance() >= m_faults.m_answerLost)
        return isDone;
    m_late.emplace(m_now + shortestDelay + m_random() % longestDelay, pending);
    return false;
}

std::vector<RankView> GroupSimulation::views() const
{
    std::vector<RankView> views;
    for (std::size_t index = isFrozen() ? 1 : 0; index < m_ranks.size(); ++index) {
        const Rank &rank = m_ranks[index];
        RankView view;
        view.m_group = "g";
        view.m_epoch = 1;
        view.m_rank = static_cast<std::uint32_t>(index);
        view.m_ranks = static_cast<std::uint32_t>(m_ranks.size());
        view.m_isOpen = true;
        view.m_step = m_step;
        view.m_map = rank.m_map.m_version;
        if (rank.m_prepared)
            view.m_prepared = rank.m_prepared->m_version;
        view.m_armed = rank.m_armed;
        if (index + 1 == m_ranks.size())
            view.m_held = m_held;
        views.push_back(view);
    }
    return views;
}

// While the first one's VM freezes now and then, the others take its place after a silence.
GroupSimulation::Coordinator &GroupSimulation::nextCoordinator()
{
    if (m_faults.m_frozen == 0 || m_coordinators.size() < 2)
        return m_coordinators[m_random() % m_coordinators.size()];
    return isFrozen() ? m_coordinators[1 + m_random() % (m_coordinators.size() - 1)]
                      : m_coordinators.front();
}

void GroupSimulation::round()
{
    if (m_faults.m_frozen > 0 && isFrozen()
        && (m_coordinators.size() < 2 || m_now < m_frozenAt + silenceTime))
        return;
    Coordinator &coordinator = nextCoordinator();
    const bool isPaused = !coordinator.m_oldViews.empty() && chance() < m_faults.m_paused;
    std::vector<RankView> now = isPaused ? coordinator.m_oldViews : views();
    std::size_t from = isPaused ? coordinator.m_oldViewsFrom : m_now;
    if (!coordinator.m_answeredViews.empty()) {
        now = std::exchange(coordinator.m_answeredViews, {});
        from = coordinator.m_answeredViewsFrom;
    }
    if (!isPaused || m_random() % 4 == 0) {
        coordinator.m_oldViews = views();
        coordinator.m_oldViewsFrom = m_now;
    }
    if (!coordinator.m_planned) {
        m_versions = std::max(m_versions, MapRollout::nextVersion(now)) + 1;
        coordinator.m_planned = m_versions;
        coordinator.m_content = ++m_content;
    }
    const Milliseconds age = moment * static_cast<int>(m_now - from);
    const RolloutStep step = coordinator.m_next(now, coordinator.m_planned, age);
    if (step.m_needsPlan || step.m_isDone) {
        m_mapChanges += step.m_isDone ? 1 : 0;
        coordinator.m_planned.reset();
        return;
    }
    bool isAnswered = step.m_isHolding && !step.m_orders.empty();
    for (const RankOrder &order : step.m_orders) {
        const bool isDone = give(order, coordinator.m_content);
        isAnswered &= isDone && noteDone(order, now);
        if (m_random() % 2 == 0)
            tick();
    }
    if (isAnswered) {
        coordinator.m_answeredViews = now;
        coordinator.m_answeredViewsFrom = from;
    }
}

void GroupSimulation::run(std::size_t rounds, const std::function<NextOrders()> &makeCoordinator)
{
    m_coordinators.resize(m_faults.m_coordinators);
    for (Coordinator &coordinator : m_coordinators)
        coordinator = {makeCoordinator(), {}, 0, {}, 0, {}, 0};
    for (std::size_t index = 0; index < rounds && !m_hasSplit; ++index) {
        if (chance() < m_faults.m_restart)
            m_coordinators[m_random() % m_coordinators.size()] = {
                makeCoordinator(), {}, 0, {}, 0, {}, 0};
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
