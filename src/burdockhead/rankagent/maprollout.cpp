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

// Returns the earliest held step that the group has not started; none without a hold.
std::optional<std::uint64_t> heldStep(const std::vector<RankSnapshot> &snapshots)
{
    const std::uint64_t latestStarted = latestStartedStep(snapshots);
    std::optional<std::uint64_t> held;
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_heldStep && *snapshot.m_heldStep > latestStarted)
            held = std::min(held.value_or(*snapshot.m_heldStep), *snapshot.m_heldStep);
    }
    return held;
}

// Resumes the group at each rank that holds it.
void resumeGroup(const std::vector<RankSnapshot> &snapshots, std::uint64_t step,
                 RolloutDecision &decision)
{
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_heldStep == step)
            decision.m_orders.push_back(
                {snapshot.m_rank, RankOrderType::Resume, snapshot.m_epoch, 0, step});
    }
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

void addPrepareOrders(const std::vector<RankSnapshot> &snapshots, std::uint64_t version,
                      RolloutDecision &decision)
{
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_preparedVersion != version)
            decision.m_orders.push_back(
                {snapshot.m_rank, RankOrderType::Prepare, snapshot.m_epoch, version, 0});
    }
}

// Arms rank 0 only after all others. While any other rank isn't armed, rank 0 is then known not to
// be armed either.
void armOrResume(const std::vector<RankSnapshot> &snapshots, const ArmedMap &armed,
                 RolloutDecision &decision)
{
    for (auto snapshot = snapshots.rbegin(); snapshot != snapshots.rend(); ++snapshot) {
        const bool isDeferred = snapshot->m_rank == 0 && !decision.m_orders.empty();
        if (snapshot->m_armed != armed && !isDeferred)
            decision.m_orders.push_back({snapshot->m_rank, RankOrderType::Arm, snapshot->m_epoch,
                                         armed.m_version, armed.m_step});
    }
    if (decision.m_orders.empty())
        resumeGroup(snapshots, armed.m_step, decision);
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

void MapRollout::disarm(const std::vector<RankSnapshot> &snapshots, RolloutDecision &decision)
{
    for (const RankSnapshot &snapshot : snapshots) {
        if (!snapshot.m_armed)
            continue;
        m_highestRetiredVersion = std::max(m_highestRetiredVersion, snapshot.m_armed->m_version);
        decision.m_orders.push_back({snapshot.m_rank, RankOrderType::Disarm, snapshot.m_epoch,
                                     snapshot.m_armed->m_version, 0});
    }
}

RolloutDecision MapRollout::nextWhileHeld(const std::vector<RankSnapshot> &snapshots,
                                          std::uint64_t step,
                                          std::optional<std::uint64_t> plannedVersion)
{
    RolloutDecision decision;
    decision.m_isHoldInProgress = true;
    if (const auto version = commonPreparedVersion(snapshots)) {
        const ArmedMap armed = {*version, step};
        const bool isArmedOtherwise =
            std::any_of(snapshots.begin(), snapshots.end(), [&](const RankSnapshot &snapshot) {
                return snapshot.m_armed && *snapshot.m_armed != armed;
            });
        if (!isArmedOtherwise) {
            armOrResume(snapshots, armed, decision);
            return decision;
        }
    }
    disarm(snapshots, decision);
    if (!decision.m_orders.empty())
        return decision;
    // Ranks that report nothing prepared may be loading a map that another coordinator will arm, so
    // the group is resumed only after all are armed with this coordinator's map.
    if (plannedVersion && *plannedVersion >= nextVersion(snapshots) - 1
        && *plannedVersion > m_highestRetiredVersion)
        addPrepareOrders(snapshots, *plannedVersion, decision);
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
    if (isArmedAlike(snapshots))
        return decision;
    const HoldWithoutRank0 hold = {snapshots.front().m_epoch, step};
    if (m_lastHoldWithoutRank0 != hold) {
        m_lastHoldWithoutRank0 = hold;
        m_highestRetiredVersion = std::max(m_highestRetiredVersion, nextVersion(snapshots) - 1);
    }
    disarm(snapshots, decision);
    if (!decision.m_orders.empty())
        return decision;
    if (!plannedVersion || *plannedVersion <= m_highestRetiredVersion) {
        decision.m_needsPlan = true;
        return decision;
    }
    addPrepareOrders(snapshots, *plannedVersion, decision);
    if (decision.m_orders.empty())
        resumeGroup(snapshots, step, decision);
    return decision;
}

RolloutDecision MapRollout::nextWhileRunning(const std::vector<RankSnapshot> &snapshots,
                                             std::optional<std::uint64_t> plannedVersion) const
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
        addPrepareOrders(snapshots, *plannedVersion, decision);
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
