#include <burdockhead/expertmap/layerbalancer.h>

#include <algorithm>
#include <numeric>

namespace burdockhead {

namespace {

constexpr std::size_t maxTargets = 32;     // Ranks considered as the target of a move.
constexpr double minRelativeGain = 0.0005; // Smaller gains do not justify a move.
// Cost of a move that loads nothing, so that its score is finite and comparable.
constexpr double minLoadCost = 0.5;

double scoreOf(double gain, std::size_t expertsToLoad)
{
    return gain / std::max(minLoadCost, static_cast<double>(expertsToLoad));
}

} // namespace

LayerBalancer::LayerBalancer(const LayerPlacement &placement, const LayerLoads &loads,
                             const GroupShape &shape)
    : m_shape(shape)
    , m_expertLoads(loads)
    , m_placement(placement)
    , m_expertsByRank(shape.m_rankCount)
    , m_rankLoads(rankTimes(placement, loads, shape))
{
    for (std::size_t expert = 0; expert < placement.size(); ++expert) {
        for (const std::uint16_t rank : placement[expert])
            m_expertsByRank[rank].push_back(static_cast<std::uint16_t>(expert));
    }
}

double LayerBalancer::maxRankLoad() const
{
    return *std::max_element(m_rankLoads.begin(), m_rankLoads.end());
}

std::optional<PlacementMove> LayerBalancer::applyBestMove()
{
    const auto position = std::max_element(m_rankLoads.begin(), m_rankLoads.end());
    const auto source = static_cast<std::uint16_t>(position - m_rankLoads.begin());
    m_bestCandidate.reset();
    for (const std::uint16_t expert : m_expertsByRank[source]) {
        if (hasOtherReplica(expert))
            considerMove(source, {{{expert, source, false}}});
    }
    const std::vector<std::uint16_t> targets = targetRanks(source);
    for (const std::uint16_t target : targets)
        tryTarget(source, target);
    // Evictions are more expensive to evaluate, so they are a fallback.
    for (auto target = targets.begin(); !m_bestCandidate && target != targets.end(); ++target)
        tryEviction(source, *target, targets);
    if (!m_bestCandidate)
        return std::nullopt;
    apply(m_bestCandidate->m_move);
    return m_bestCandidate->m_move;
}

bool LayerBalancer::holds(std::size_t rank, std::size_t expert) const
{
    const auto &replicas = m_placement[expert];
    return std::binary_search(replicas.begin(), replicas.end(), rank);
}

double LayerBalancer::replicaLoad(std::size_t expert, std::size_t addedReplicas) const
{
    return m_expertLoads[expert] / static_cast<double>(m_placement[expert].size() + addedReplicas);
}

// Returns false if the target would become as loaded as the most loaded rank; skips the evaluation
// of moves that can't help.
bool LayerBalancer::staysBelowSource(std::uint16_t source, std::uint16_t target, double added) const
{
    return m_rankLoads[target] + added * slowdown(target) < m_rankLoads[source];
}

// Returns the least loaded ranks, and the least loaded ones that can free a slot.
std::vector<std::uint16_t> LayerBalancer::targetRanks(std::uint16_t source) const
{
    std::vector<std::uint16_t> ranks(m_shape.m_rankCount);
    std::iota(ranks.begin(), ranks.end(), std::uint16_t(0));
    std::erase(ranks, source);
    std::stable_sort(ranks.begin(), ranks.end(), [this](std::uint16_t left, std::uint16_t right) {
        return m_rankLoads[left] < m_rankLoads[right];
    });
    std::vector<std::uint16_t> targets;
    std::size_t freeableCount = 0;
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        const auto &held = m_expertsByRank[ranks[index]];
        const bool canFreeSlot =
            hasFreeSlot(ranks[index])
            || std::any_of(held.begin(), held.end(),
                           [this](std::uint16_t expert) { return hasOtherReplica(expert); });
        if (index < maxTargets || (canFreeSlot && freeableCount < maxTargets))
            targets.push_back(ranks[index]);
        freeableCount += canFreeSlot ? 1 : 0;
    }
    return targets;
}

void LayerBalancer::tryTarget(std::uint16_t source, std::uint16_t target)
{
    for (const std::uint16_t expert : m_expertsByRank[source]) {
        if (holds(target, expert))
            continue;
        tryReplicate(source, target, expert);
        trySwap(source, target, expert);
    }
}

void LayerBalancer::tryReplicate(std::uint16_t source, std::uint16_t target, std::uint16_t expert)
{
    const ReplicaChange addition{expert, target, true};
    const ReplicaChange removal{expert, source, false};
    // Load taken off the source by a further replica and by a move of the expert.
    const double spreadLoad = replicaLoad(expert, 0) - replicaLoad(expert, 1);
    const double movedLoad = replicaLoad(expert, 0);
    if (hasFreeSlot(target)) {
        if (canBeBest(source, target, {spreadLoad, replicaLoad(expert, 1), 1}))
            considerMove(source, {{addition}});
        if (canBeBest(source, target, {movedLoad, movedLoad, 1}))
            considerMove(source, {{addition, removal}});
    }
    for (const std::uint16_t other : m_expertsByRank[target]) {
        if (!hasOtherReplica(other))
            continue;
        const ReplicaChange otherRemoval{other, target, false};
        if (canBeBest(source, target,
                      {spreadLoad, replicaLoad(expert, 1) - replicaLoad(other, 0), 1}))
            considerMove(source, {{otherRemoval, addition}});
        if (canBeBest(source, target, {movedLoad, movedLoad - replicaLoad(other, 0), 1}))
            considerMove(source, {{otherRemoval, addition, removal}});
    }
}

// Replicates an expert on a target that holds sole replicas only, by moving one of them to a rank
// with a free slot.
void LayerBalancer::tryEviction(std::uint16_t source, std::uint16_t target,
                                const std::vector<std::uint16_t> &targets)
{
    for (const std::uint16_t expert : m_expertsByRank[source]) {
        if (holds(target, expert))
            continue;
        for (const std::uint16_t evicted : m_expertsByRank[target]) {
            const double spreadLoad = replicaLoad(expert, 0) - replicaLoad(expert, 1);
            if (!canBeBest(source, target,
                           {spreadLoad, replicaLoad(expert, 1) - replicaLoad(evicted, 0), 2}))
                continue;
            tryEvictionTo(source, {expert, target, true}, {evicted, source, true});
            for (const std::uint16_t destination : targets)
                tryEvictionTo(source, {expert, target, true}, {evicted, destination, true});
        }
    }
}

void LayerBalancer::tryEvictionTo(std::uint16_t source, const ReplicaChange &replicate,
                                  const ReplicaChange &evict)
{
    const std::uint16_t destination = evict.m_rank;
    if (destination == replicate.m_rank || holds(destination, evict.m_expert))
        return;
    const ReplicaChange removal{evict.m_expert, replicate.m_rank, false};
    const double evictedLoad = replicaLoad(evict.m_expert, 0);
    if (hasFreeSlot(destination)) {
        if (destination == source || staysBelowSource(source, destination, evictedLoad))
            considerMove(source, {{removal, evict, replicate}});
        return;
    }
    for (const std::uint16_t other : m_expertsByRank[destination]) {
        const bool isReplicatedExpert = other == replicate.m_expert && destination == source;
        if (hasOtherReplica(other) && !isReplicatedExpert
            && (destination == source
                || staysBelowSource(source, destination, evictedLoad - replicaLoad(other, 0))))
            considerMove(source, {{{other, destination, false}, removal, evict, replicate}});
    }
}

void LayerBalancer::trySwap(std::uint16_t source, std::uint16_t target, std::uint16_t expert)
{
    for (const std::uint16_t other : m_expertsByRank[target]) {
        const double difference = replicaLoad(expert, 0) - replicaLoad(other, 0);
        if (difference <= 0 || holds(source, other)
            || !canBeBest(source, target, {difference, difference, 2}))
            continue;
        considerMove(source, {{{expert, source, false},
                               {other, target, false},
                               {expert, target, true},
                               {other, source, true}}});
    }
}

// Returns whether a move could beat the best one so far, judging by its source and target alone;
// skips the full evaluation of most moves.
bool LayerBalancer::canBeBest(std::uint16_t source, std::uint16_t target,
                              const LoadShift &shift) const
{
    const double before = m_rankLoads[source];
    const double sourceAfter = before - shift.m_removed * slowdown(source);
    const double targetAfter = m_rankLoads[target] + shift.m_added * slowdown(target);
    return isBetter(before, before - std::max(sourceAfter, targetAfter), shift.m_expertsToLoad);
}

bool LayerBalancer::isBetter(double before, double gain, std::size_t expertsToLoad) const
{
    return gain >= before * minRelativeGain
           && (!m_bestCandidate || scoreOf(gain, expertsToLoad) > m_bestCandidate->m_score);
}

void LayerBalancer::considerMove(std::uint16_t source, PlacementMove move)
{
    const double before = m_rankLoads[source];
    const double gain = before - maxLoadAfter(move);
    const std::size_t expertsToLoad = move.expertsToLoad();
    if (isBetter(before, gain, expertsToLoad))
        m_bestCandidate = Candidate{std::move(move), scoreOf(gain, expertsToLoad)};
}

// Returns the maximum load among the ranks whose load the move changes.
double LayerBalancer::maxLoadAfter(const PlacementMove &move)
{
    m_loadDeltas.clear();
    for (auto change = move.m_changes.begin(); change != move.m_changes.end(); ++change) {
        const auto isSame = [&](const ReplicaChange &other) {
            return other.m_expert == change->m_expert;
        };
        if (std::none_of(move.m_changes.begin(), change, isSame))
            addLoadDeltas(move, change->m_expert);
    }
    std::sort(m_loadDeltas.begin(), m_loadDeltas.end());
    double maxLoad = 0;
    for (auto delta = m_loadDeltas.begin(); delta != m_loadDeltas.end();) {
        const std::uint16_t rank = delta->first;
        double load = m_rankLoads[rank];
        for (; delta != m_loadDeltas.end() && delta->first == rank; ++delta)
            load += delta->second * slowdown(rank);
        maxLoad = std::max(maxLoad, load);
    }
    return maxLoad;
}

// Adds the changes of the ranks' loads that the move causes through one expert.
void LayerBalancer::addLoadDeltas(const PlacementMove &move, std::uint16_t expert)
{
    const ExpertReplicas &replicas = m_placement[expert];
    std::size_t count = replicas.size();
    for (const ReplicaChange &change : move.m_changes) {
        if (change.m_expert == expert)
            count = change.m_isAdded ? count + 1 : count - 1;
    }
    const double before = m_expertLoads[expert] / static_cast<double>(replicas.size());
    const double after = m_expertLoads[expert] / static_cast<double>(count);
    for (const std::uint16_t rank : replicas)
        m_loadDeltas.emplace_back(rank, after - before);
    for (const ReplicaChange &change : move.m_changes) {
        if (change.m_expert == expert)
            m_loadDeltas.emplace_back(change.m_rank, change.m_isAdded ? after : -after);
    }
}

void LayerBalancer::apply(const PlacementMove &move)
{
    applyMove(m_placement, move);
    for (const ReplicaChange &change : move.m_changes) {
        if (change.m_isAdded)
            m_expertsByRank[change.m_rank].push_back(change.m_expert);
        else
            std::erase(m_expertsByRank[change.m_rank], change.m_expert);
    }
    m_rankLoads = rankTimes(m_placement, m_expertLoads, m_shape);
}

} // namespace burdockhead
