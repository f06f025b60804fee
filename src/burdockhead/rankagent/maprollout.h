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
    // The group is held, or one of the orders is to hold it; the next round is urgent.
    bool m_isHoldInProgress = false;
    bool m_isDone = false; // The planned map is active on every rank.
};

// Moves a group of ranks from one expert map to the next such that no step starts while two ranks
// use different maps. Each round's orders are derived from the ranks' snapshots, so a lost
// order is sent again, and a process that starts during a change completes it.
//
// All ranks prepare the map. The last rank is then ordered to hold the group: no rank starts a
// given step, slightly ahead, until the group is resumed. Once the hold is reported, all ranks are
// armed, that is, ordered to use the prepared map from that step on, rank 0 after the others. The
// group resumes when all report that they are armed.
//
// Nothing is armed without a hold, and while rank 0 is known a hold ends only when all ranks are
// armed alike: an order whose reply was lost may be executed seconds later, and a late order to arm
// is harmful only before its step has started. For the same reason a version that any rank was
// ordered to disarm is never armed again.
//
// A hold can be ended without rank 0, whose VM also runs the coordinator and may have frozen with
// it, unless all other ranks are armed: they are disarmed and prepare a newer version, so that late
// orders can't arm the former one, and the group resumes with its current map.
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
    // Identifies a hold that is ended while rank 0 is unknown.
    struct HoldWithoutRank0
    {
        std::uint64_t m_epoch = 0;
        std::uint64_t m_step = 0;

        friend bool operator==(const HoldWithoutRank0 &, const HoldWithoutRank0 &) = default;
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

    // Versions up to this are never armed: those that a rank was ordered to disarm, and all known
    // ones when a hold has to be ended without rank 0.
    std::uint64_t m_highestRetiredVersion = 0;
    std::optional<HoldWithoutRank0> m_lastHoldWithoutRank0; // The most recent one.
};

} // namespace burdockhead
