#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/rankorder.h>
#include <burdockhead/rankagent/ranksnapshot.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace burdockhead {

// Result of one round of a rollout.
struct RolloutDecision
{
    std::vector<RankOrder> m_orders; // May be sent in any order.
    bool m_needsPlan = false;        // A map with a higher version must be planned first.
    bool m_isHolding = false;        // The group is or will be held, so the next round is urgent.
    bool m_isDone = false;           // The planned map is active on every rank.
};

// Moves a group of ranks from one expert map to the next such that no step starts while two ranks
// use different maps. Each round's orders are derived from the ranks' snapshots, so a lost
// order is sent again, and a process that starts during a change completes it.
//
// All ranks prepare the map. The last rank is then ordered to hold the group before a step slightly
// ahead. Once it reports the hold, all ranks are armed for that step, rank 0 after the others, and
// the group resumes when all report that they are armed.
//
// Nothing is armed without a hold, and a hold ends only when all ranks are armed alike: an order
// whose reply was lost may be executed seconds later, and a late order to arm is harmful only
// before its step has started. For the same reason a version that any rank was ordered to disarm is
// never armed again.
//
// A change in progress can be ended without rank 0, whose VM also runs the coordinator and may have
// frozen with it.
class MapRollout
{
public:
    // Returns the next orders, from the snapshots of all ranks, or of all but rank 0, sorted by
    // rank, and the planned version, none without a plan. `age` is that of the snapshots. Stale
    // ones give no orders: this process may have been suspended while another coordinator changed
    // the maps.
    RolloutDecision next(const std::vector<RankSnapshot> &snapshots,
                         std::optional<std::uint64_t> plannedVersion, Milliseconds age);

    // Returns a version above all that the ranks report.
    static std::uint64_t nextVersion(const std::vector<RankSnapshot> &snapshots);

private:
    // Identifies a hold that is ended without rank 0.
    struct Release
    {
        std::uint64_t m_epoch = 0;
        std::uint64_t m_step = 0;

        friend bool operator==(const Release &, const Release &) = default;
    };

    RolloutDecision nextWhileHeldWithoutRank0(const std::vector<RankSnapshot> &snapshots,
                                              std::uint64_t step,
                                              std::optional<std::uint64_t> plannedVersion);
    RolloutDecision nextWhileHeld(const std::vector<RankSnapshot> &snapshots, std::uint64_t step,
                                  std::optional<std::uint64_t> plannedVersion);
    RolloutDecision nextWhileRunning(const std::vector<RankSnapshot> &snapshots,
                                     std::optional<std::uint64_t> plannedVersion) const;
    std::optional<std::uint64_t>
    commonPreparedVersion(const std::vector<RankSnapshot> &snapshots) const;
    void disarm(const std::vector<RankSnapshot> &snapshots, RolloutDecision &decision);

    std::uint64_t m_highestDisarmedVersion = 0;
    std::optional<Release> m_lastRelease; // The most recent one.
};

} // namespace burdockhead
