#pragma once

#include <burdockhead/rankagent/maprollout.h>

#include <algorithm>

namespace burdockhead::test {

// Faulty coordinator: abandons a change whose map some rank doesn't report as prepared, as the
// rollout once did. Another coordinator may have seen that rank armed and resume the group.
inline RolloutDecision abandonUnprepared(MapRollout &rollout,
                                         const std::vector<RankSnapshot> &snapshots,
                                         std::optional<std::uint64_t> plannedVersion,
                                         Milliseconds age)
{
    RolloutDecision decision = rollout.next(snapshots, plannedVersion, age);
    const bool isUnprepared =
        std::any_of(snapshots.begin(), snapshots.end(), [](const RankSnapshot &snapshot) {
            return !snapshot.m_preparedVersion.has_value();
        });
    if (snapshots.empty() || !snapshots.back().m_heldStep || !isUnprepared)
        return decision;
    for (const RankSnapshot &snapshot : snapshots) {
        if (snapshot.m_armed)
            decision.m_orders.push_back({snapshot.m_rank, RankOrderType::Disarm, snapshot.m_epoch,
                                         snapshot.m_armed->m_version, 0});
    }
    return decision;
}

} // namespace burdockhead::test
