#include <burdockhead/rankagent/maprollout.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Orders reach all ranks in less than a step, so with this lead the group seldom waits.
constexpr std::uint64_t holdLeadSteps = 2;
// Orders follow only from snapshots at most this old; polling a large group takes about 100 ms.
constexpr Milliseconds maxSnapshotAge{250};

// Whether there is a snapshot of every rank from firstRank on, all in one running group and epoch
// and with the same map.
bool isCompleteFrom(std::uint32_t firstRank, const std::vector<RankSnapshot> &snapshots)
{
    if (snapshots.empty() || snapshots.size() + firstRank != snapshots.front().m_rankCount)
        return false;
    for (std::size_t index = 0; index < snapshots.size(); ++index) {
        const RankSnapshot &snapshot = snapshots[index];
        if (!snapshot.m_isGroupRunning || snapshot.m_rank != firstRank + index
            || snapshot.m_epoch != snapshots.front().m_epoch
            || snapshot.m_group != snapshots.front().m_group
            || snapshot.m_mapVersion != snapshots.front().m_mapVersion)
            return false;
    }
    return true;
}

std::uint64_t latestStartedStep(const std::vector<RankSnapshot> &snapshots)
{
    std::uint64_t step = 0;
    for (const RankSnapshot &snapshot : snapshots)
        step = std::max(step, snapshot.m_step);
    return step;
}

// Returns the held step that the group has not started; none without a hold. The last rank's hold
// comes first, since coordinators order no other rank to hold the group.
std::optional<std::uint64_t> heldStep(const std::vector<RankSnapshot> &snapshots)
{
    const std::uint64_t latestStarted = latestStartedStep(snapshots);
    for (auto snapshot = snapshots.rbegin(); snapshot != snapshots.rend(); ++snapshot) {
        if (snapshot->m_heldStep && *snapshot->m_heldStep > latestStarted)
            return snapshot->m_heldStep;
    }
    return std::nullopt;
}

// The last rank holds the group: the coordinator runs beside rank 0, and when its VM freezes a
// standby can still reach the rank that holds.
RankOrder holdOrder(const std::vector<RankSnapshot> &snapshots, std::uint64_t step)
{
    return {snapshots.back().m_rank, RankOrderType::Hold, snapshots.back().m_epoch, 0, step};
}

bool isArmedAlike(const std::vector<RankSnapshot> &snapshots)
{
    return std::all_of(snapshots.begin(), snapshots.end(), [&](const RankSnapshot &snapshot) {
        return snapshot.m_armed && snapshot.m_armed == snapshots.front().m_armed;
    });
}

// Returns the armed map with the highest version; none when no rank is armed.
std::optional<ArmedMap> newestArmedMap(const std::vector<RankSnapshot> &snapshots)
{
    std::optional<ArmedMap> newest;
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_armed && (!newest || snapshot.m_armed->m_version > newest->m_version))
            newest = snapshot.m_armed;
    }
    return newest;
}

// Returns the earliest step for which any rank is armed; none when no rank is.
std::optional<std::uint64_t> firstArmedStep(const std::vector<RankSnapshot> &snapshots)
{
    std::optional<std::uint64_t> first;
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_armed)
            first = std::min(first.value_or(snapshot.m_armed->m_step), snapshot.m_armed->m_step);
    }
    return first;
}

// Resumes the group at each rank that holds it up to the step for which all ranks are armed.
void resumeArmedGroup(const std::vector<RankSnapshot> &snapshots, RolloutDecision &decision)
{
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_heldStep && *snapshot.m_heldStep <= snapshot.m_armed->m_step)
            decision.m_orders.push_back({snapshot.m_rank, RankOrderType::Resume, snapshot.m_epoch,
                                         0, *snapshot.m_heldStep});
    }
}

// Disarms the ranks whose armed version can't be armed on all ranks any more, since another rank
// has a higher one.
void disarmSuperseded(const std::vector<RankSnapshot> &snapshots, RolloutDecision &decision)
{
    const std::uint64_t highest = MapRollout::nextVersion(snapshots) - 1;
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_armed && snapshot.m_armed->m_version < highest)
            decision.m_orders.push_back({snapshot.m_rank, RankOrderType::Disarm, snapshot.m_epoch,
                                         snapshot.m_armed->m_version, 0});
    }
}

// Arms the ranks that have prepared the map and aren't armed yet, rank 0 only after all others. A
// rank that has prepared another map is beyond this version, as its next snapshots will show.
void arm(const std::vector<RankSnapshot> &snapshots, const ArmedMap &armed,
         RolloutDecision &decision)
{
    bool areOthersArmed = true;
    for (auto snapshot = snapshots.rbegin(); snapshot != snapshots.rend(); ++snapshot) {
        if (snapshot->m_armed || (snapshot->m_rank == 0 && !areOthersArmed))
            continue;
        areOthersArmed = false;
        if (snapshot->m_preparedVersion == armed.m_version)
            decision.m_orders.push_back({snapshot->m_rank, RankOrderType::Arm, snapshot->m_epoch,
                                         armed.m_version, armed.m_step});
    }
}

} // namespace

std::uint64_t MapRollout::nextVersion(const std::vector<RankSnapshot> &snapshots)
{
    std::uint64_t highest = 0;
    for (const RankSnapshot &snapshot : snapshots) {
        highest =
            std::max({highest, snapshot.m_mapVersion, snapshot.m_preparedVersion.value_or(0)});
        if (snapshot.m_armed)
            highest = std::max(highest, snapshot.m_armed->m_version);
    }
    return highest + 1;
}

// Returns the version that all ranks have prepared, if it is above the active one and may still be
// armed.
std::optional<std::uint64_t>
MapRollout::commonPreparedVersion(const std::vector<RankSnapshot> &snapshots) const
{
    const auto first = snapshots.front().m_preparedVersion;
    if (!first || *first <= snapshots.front().m_mapVersion || *first <= m_highestRetiredVersion)
        return std::nullopt;
    const bool isCommon =
        std::all_of(snapshots.begin(), snapshots.end(), [&](const RankSnapshot &snapshot) {
            return snapshot.m_preparedVersion == first;
        });
    return isCommon ? first : std::nullopt;
}

// Orders the ranks that haven't prepared the version to do so. Armed ones would refuse.
void MapRollout::prepare(const std::vector<RankSnapshot> &snapshots, std::uint64_t version,
                         RolloutDecision &decision)
{
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_preparedVersion == version || snapshot.m_armed)
            continue;
        decision.m_orders.push_back(
            {snapshot.m_rank, RankOrderType::Prepare, snapshot.m_epoch, version, 0});
        if (snapshot.m_rank == 0)
            m_highestVersionForRank0 = std::max(m_highestVersionForRank0, version);
    }
}

RolloutDecision MapRollout::nextWhileHeld(const std::vector<RankSnapshot> &snapshots,
                                          std::uint64_t step,
                                          std::optional<std::uint64_t> plannedVersion)
{
    RolloutDecision decision;
    decision.m_isHoldInProgress = true;
    if (isArmedAlike(snapshots)) {
        resumeArmedGroup(snapshots, decision);
        return decision;
    }
    disarmSuperseded(snapshots, decision);
    if (!decision.m_orders.empty())
        return decision;
    const RankSnapshot &holder = snapshots.back();
    const auto armed = newestArmedMap(snapshots);
    const auto version = armed ? std::optional(armed->m_version) : commonPreparedVersion(snapshots);
    if (version) {
        const ArmedMap next = {*version, step};
        if (holder.m_heldStep != step)
            decision.m_orders.push_back(holdOrder(snapshots, step));
        else if (armed.value_or(next) == next)
            arm(snapshots, next, decision);
        return decision;
    }
    // Ranks that report nothing prepared may be loading a map that another coordinator will arm, so
    // the group is resumed only after all are armed with this coordinator's map.
    if (plannedVersion && *plannedVersion >= nextVersion(snapshots) - 1
        && *plannedVersion > m_highestRetiredVersion)
        prepare(snapshots, *plannedVersion, decision);
    else
        decision.m_needsPlan = true;
    return decision;
}

// Ends a hold while rank 0 is unknown. Rank 0 is armed last, so it isn't armed while another rank
// isn't. If all others are armed it may be, and the group has to wait for it. Before the group
// resumes, the others' prepared maps are replaced, so that no late order can arm them.
RolloutDecision MapRollout::nextWhileHeldWithoutRank0(const std::vector<RankSnapshot> &snapshots,
                                                      std::uint64_t step,
                                                      std::optional<std::uint64_t> plannedVersion)
{
    RolloutDecision decision;
    decision.m_isHoldInProgress = true;
    const RankSnapshot &holder = snapshots.back();
    if (isArmedAlike(snapshots) || holder.m_heldStep != step || !holder.m_sequence)
        return decision;
    const HoldWithoutRank0 hold = {holder.m_epoch, step};
    if (m_lastHoldWithoutRank0 != hold) {
        m_lastHoldWithoutRank0 = hold;
        m_highestRetiredVersion = std::max(m_highestRetiredVersion, nextVersion(snapshots) - 1);
    }
    if (!plannedVersion
        || *plannedVersion <= std::max(m_highestRetiredVersion, m_highestVersionForRank0)) {
        decision.m_needsPlan = true;
        return decision;
    }
    disarmSuperseded(snapshots, decision);
    prepare(snapshots, *plannedVersion, decision);
    if (decision.m_orders.empty() && !newestArmedMap(snapshots)) {
        m_highestRetiredVersion = *plannedVersion;
        decision.m_orders.push_back(
            {holder.m_rank, RankOrderType::Resume, holder.m_epoch, 0, step, holder.m_sequence});
    }
    return decision;
}

RolloutDecision MapRollout::nextWhileRunning(const std::vector<RankSnapshot> &snapshots,
                                             std::optional<std::uint64_t> plannedVersion)
{
    RolloutDecision decision;
    const RankSnapshot &first = snapshots.front();
    if (isArmedAlike(snapshots))
        return decision; // The step for which all are armed hasn't started yet.
    if (const auto step = firstArmedStep(snapshots)) {
        decision.m_orders.push_back(holdOrder(snapshots, *step));
        decision.m_isHoldInProgress = true;
        return decision;
    }
    if (!plannedVersion)
        return decision;
    if (first.m_mapVersion >= *plannedVersion) {
        decision.m_isDone = true;
    } else if (*plannedVersion <= m_highestRetiredVersion
               || *plannedVersion + 1 < nextVersion(snapshots)) {
        // Ranks refuse to prepare a lower version than they got from another coordinator.
        decision.m_needsPlan = true;
    } else if (commonPreparedVersion(snapshots) == plannedVersion) {
        decision.m_orders.push_back(
            holdOrder(snapshots, latestStartedStep(snapshots) + holdLeadSteps));
        decision.m_isHoldInProgress = true;
    } else {
        prepare(snapshots, *plannedVersion, decision);
    }
    return decision;
}

RolloutDecision MapRollout::next(const std::vector<RankSnapshot> &snapshots,
                                 std::optional<std::uint64_t> plannedVersion, Milliseconds age)
{
    if (age > maxSnapshotAge)
        return {};
    const bool isComplete = isCompleteFrom(0, snapshots);
    if (!isComplete && !isCompleteFrom(1, snapshots))
        return {};
    const auto held = heldStep(snapshots);
    if (!isComplete)
        return held ? nextWhileHeldWithoutRank0(snapshots, *held, plannedVersion)
                    : RolloutDecision();
    return held ? nextWhileHeld(snapshots, *held, plannedVersion)
                : nextWhileRunning(snapshots, plannedVersion);
}

} // namespace burdockhead
