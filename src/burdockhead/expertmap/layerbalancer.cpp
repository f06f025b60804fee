#include <burdockhead/expertmap/layerbalancer.h>

#include <algorithm>
#include <numeric>

namespace burdockhead {

namespace {

constexpr std::size_t maxTargets = 32;       // Ranks weighed as the other end of a move.
constexpr double leastRelativeGain = 0.0005; // Smaller ones are not worth a move.
// What a move without a load counts as, so that its gain can be compared with others'.
constexpr double leastLoads = 0.5;

double scoreOf(double gain, std::size_t loads)
{
    return gain / std::max(leastLoads, static_cast<double>(loads));
}

} // namespace

LayerBalancer::LayerBalancer(const LayerPlacement &placement, const LayerLoads &loads,
                             const GroupShape &shape)
    : m_shape(shape)
    , m_loads(loads)
    , m_placement(placement)
    , m_held(shape.m_rankCount)
    , m_rankLoads(rankTimes(placement, loads, shape))
{
    for (std::size_t expert = 0; expert < placement.size(); ++expert) {
        for (const std::uint16_t rank : placement[expert])
            m_held[rank].push_back(static_cast<std::uint16_t>(expert));
    }
}

double LayerBalancer::maxRankLoad() const
{
    return *std::max_element(m_rankLoads.begin(), m_rankLoads.end());
}

std::optional<PlacementMove> LayerBalancer::applyBestMove()
{
    const auto position = std::max_element(m_rankLoads.begin(), m_rankLoads.end());
    const auto heavy = static_cast<std::uint16_t>(position - m_rankLoads.begin());
    m_best.reset();
    for (const std::uint16_t expert : m_held[heavy]) {
        if (isDroppable(expert))
            consider(heavy, {{{expert, heavy, false}}});
    }
    const std::vector<std::uint16_t> targets = targetsFor(heavy);
    for (const std::uint16_t target : targets)
        tryTarget(heavy, target);
    // Costlier moves, weighed only where the simple ones are stuck.
    for (auto target = targets.begin(); !m_best && target != targets.end(); ++target)
        tryEviction(heavy, *target, targets);
    if (!m_best)
        return std::nullopt;
    apply(m_best->m_move);
    return m_best->m_move;
}

bool LayerBalancer::holds(std::size_t rank, std::size_t expert) const
{
    const auto &replicas = m_placement[expert];
    return std::binary_search(replicas.begin(), replicas.end(), rank);
}

double LayerBalancer::share(std::size_t expert, std::size_t addedReplicas) const
{
    return m_loads[expert] / static_cast<double>(m_placement[expert].size() + addedReplicas);
}

// False when the target would come out as heavy as the heaviest rank; spares weighing moves
// that can't help.
bool LayerBalancer::relieves(std::uint16_t heavy, std::uint16_t target, double added) const
{
    return m_rankLoads[target] + added * slowness(target) < m_rankLoads[heavy];
}

// The lightest ranks, and the lightest among those that can give up a slot.
std::vector<std::uint16_t> LayerBalancer::targetsFor(std::uint16_t heaviestRank) const
{
    std::vector<std::uint16_t> ranks(m_shape.m_rankCount);
    std::iota(ranks.begin(), ranks.end(), std::uint16_t(0));
    std::erase(ranks, heaviestRank);
    std::stable_sort(ranks.begin(), ranks.end(), [this](std::uint16_t left, std::uint16_t right) {
        return m_rankLoads[left] < m_rankLoads[right];
    });
    std::vector<std::uint16_t> targets;
    std::size_t yielding = 0;
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        const auto &held = m_held[ranks[index]];
        const bool yields = hasFreeSlot(ranks[index])
                            || std::any_of(held.begin(), held.end(), [this](std::uint16_t expert) {
                                   return isDroppable(expert);
                               });
        if (index < maxTargets || (yields && yielding < maxTargets))
            targets.push_back(ranks[index]);
        yielding += yields ? 1 : 0;
    }
    return targets;
}

void LayerBalancer::tryTarget(std::uint16_t heavy, std::uint16_t target)
{
    for (const std::uint16_t expert : m_held[heavy]) {
        if (holds(target, expert))
            continue;
        tryReplicate(heavy, target, expert);
        trySwap(heavy, target, expert);
    }
}

void LayerBalancer::tryReplicate(std::uint16_t heavy, std::uint16_t target, std::uint16_t expert)
{
    const ReplicaChange add{expert, target, true};
    const ReplicaChange leave{expert, heavy, false};
    // What the heaviest rank gives away and the target takes, by a further replica and by a move.
    const double spread = share(expert, 0) - share(expert, 1);
    const double moved = share(expert, 0);
    if (hasFreeSlot(target)) {
        if (canBeBest(heavy, target, {spread, share(expert, 1), 1}))
            consider(heavy, {{add}});
        if (canBeBest(heavy, target, {moved, moved, 1}))
            consider(heavy, {{add, leave}});
    }
    for (const std::uint16_t other : m_held[target]) {
        if (!isDroppable(other))
            continue;
        const ReplicaChange drop{other, target, false};
        if (canBeBest(heavy, target, {spread, share(expert, 1) - share(other, 0), 1}))
            consider(heavy, {{drop, add}});
        if (canBeBest(heavy, target, {moved, moved - share(other, 0), 1}))
            consider(heavy, {{drop, add, leave}});
    }
}

// Replicates an expert on a target whose experts are the only replicas, by moving one of
// them on to a rank that has room.
void LayerBalancer::tryEviction(std::uint16_t heavy, std::uint16_t target,
                                const std::vector<std::uint16_t> &targets)
{
    for (const std::uint16_t expert : m_held[heavy]) {
        if (holds(target, expert))
            continue;
        for (const std::uint16_t evicted : m_held[target]) {
            const double spread = share(expert, 0) - share(expert, 1);
            if (!canBeBest(heavy, target, {spread, share(expert, 1) - share(evicted, 0), 2}))
                continue;
            tryEvictionTo(heavy, {expert, target, true}, {evicted, heavy, true});
            for (const std::uint16_t destination : targets)
                tryEvictionTo(heavy, {expert, target, true}, {evicted, destination, true});
        }
    }
}

void LayerBalancer::tryEvictionTo(std::uint16_t heavy, const ReplicaChange &replicate,
                                  const ReplicaChange &evict)
{
    const std::uint16_t destination = evict.m_rank;
    if (destination == replicate.m_rank || holds(destination, evict.m_expert))
        return;
    const ReplicaChange leave{evict.m_expert, replicate.m_rank, false};
    const double evictedLoad = share(evict.m_expert, 0);
    if (hasFreeSlot(destination)) {
        if (destination == heavy || relieves(heavy, destination, evictedLoad))
            consider(heavy, {{leave, evict, replicate}});
        return;
    }
    for (const std::uint16_t other : m_held[destination]) {
        const bool isMoved = other == replicate.m_expert && destination == heavy;
        if (isDroppable(other) && !isMoved
            && (destination == heavy
                || relieves(heavy, destination, evictedLoad - share(other, 0))))
            consider(heavy, {{{other, destination, false}, leave, evict, replicate}});
    }
}

void LayerBalancer::trySwap(std::uint16_t heavy, std::uint16_t target, std::uint16_t expert)
{
    for (const std::uint16_t other : m_held[target]) {
        const double difference = share(expert, 0) - share(other, 0);
        if (difference <= 0 || holds(heavy, other)
            || !canBeBest(heavy, target, {difference, difference, 2}))
            continue;
        consider(heavy, {{{expert, heavy, false},
                          {other, target, false},
                          {expert, target, true},
                          {other, heavy, true}}});
    }
}

// Whether a move could be better than the best one so far, by what it does to its two ends alone;
// spares weighing most moves in full.
bool LayerBalancer::canBeBest(std::uint16_t heavy, std::uint16_t target,
                              const Shifted &shifted) const
{
    const double before = m_rankLoads[heavy];
    const double heavyAfter = before - shifted.m_taken * slowness(heavy);
    const double targetAfter = m_rankLoads[target] + shifted.m_given * slowness(target);
    return isBetter(before, before - std::max(heavyAfter, targetAfter), shifted.m_loads);
}

bool LayerBalancer::isBetter(double before, double gain, std::size_t loads) const
{
    return gain >= before * leastRelativeGain
           && (!m_best || scoreOf(gain, loads) > m_best->m_score);
}

void LayerBalancer::consider(std::uint16_t heavy, PlacementMove move)
{
    const double before = m_rankLoads[heavy];
    const double gain = before - heaviestAfter(move);
    const std::size_t loads = move.expertsToLoad();
    if (isBetter(before, gain, loads))
        m_best = Candidate{std::move(move), scoreOf(gain, loads)};
}

// The heaviest load among the ranks whose load the move changes.
double LayerBalancer::heaviestAfter(const PlacementMove &move)
{
    m_deltas.clear();
    for (auto change = move.m_changes.begin(); change != move.m_changes.end(); ++change) {
        const auto isSame = [&](const ReplicaChange &other) {
            return other.m_expert == change->m_expert;
        };
        if (std::none_of(move.m_changes.begin(), change, isSame))
            addDeltas(move, change->m_expert);
    }
    std::sort(m_deltas.begin(), m_deltas.end());
    double heaviest = 0;
    for (auto delta = m_deltas.begin(); delta != m_deltas.end();) {
        const std::uint16_t rank = delta->first;
        double load = m_rankLoads[rank];
        for (; delta != m_deltas.end() && delta->first == rank; ++delta)
            load += delta->second * slowness(rank);
        heaviest = std::max(heaviest, load);
    }
    return heaviest;
}

// Notes by how much the move changes the ranks' loads through one expert.
void LayerBalancer::addDeltas(const PlacementMove &move, std::uint16_t expert)
{
    const ExpertReplicas &replicas = m_placement[expert];
    std::size_t count = replicas.size();
    for (const ReplicaChange &change : move.m_changes) {
        if (change.m_expert == expert)
            count = change.m_isAdded ? count + 1 : count - 1;
    }
    const double before = m_loads[expert] / static_cast<double>(replicas.size());
    const double after = m_loads[expert] / static_cast<double>(count);
    for (const std::uint16_t rank : replicas)
        m_deltas.emplace_back(rank, after - before);
    for (const ReplicaChange &change : move.m_changes) {
        if (change.m_expert == expert)
            m_deltas.emplace_back(change.m_rank, change.m_isAdded ? after : -after);
    }
}

void LayerBalancer::apply(const PlacementMove &move)
{
    applyMove(m_placement, move);
    for (const ReplicaChange &change : move.m_changes) {
        if (change.m_isAdded)
            m_held[change.m_rank].push_back(change.m_expert);
        else
            std::erase(m_held[change.m_rank], change.m_expert);
    }
    m_rankLoads = rankTimes(m_placement, m_loads, m_shape);
}

} // namespace burdockhead
