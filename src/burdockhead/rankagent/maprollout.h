#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/rankorder.h>
#include <burdockhead/rankagent/ranksnapshot.h>

#include <cstdint>
#include <optional>
#include <utility>
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
// Any number of processes may do this at the same time without knowing of each other, orders may be
// executed late or twice, and each snapshot may be of another time, since no order follows from
// anything that can cease to be true before the order is executed (docs/MAP-ROLLOUT.md):
//
// - A rank is armed only for the step at which one snapshot of the last rank showed the group held
//   and that rank not armed otherwise. Thus each version is armed for one step only.
// - A rank is disarmed only if another rank has a higher version. That rank refuses the lower one
//   for good, so that no process can ever see all ranks armed with it.
// - The group resumes only if all ranks are armed alike. They stay so until the step starts.
//
// A hold can be ended without rank 0, whose VM also runs the coordinator and may have frozen with
// it, unless all other ranks are armed. They prepare a newer version, which rank 0 is never told of
// and which is therefore never armed. The order to resume then names the number of orders that the
// last rank has accepted, so that it is refused if another process has prepared a map there since.
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

    friend bool operator==(const MapRollout &, const MapRollout &) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash hash, const MapRollout &rollout)
    {
        return Hash::combine(std::move(hash), rollout.m_highestRetiredVersion,
                             rollout.m_highestVersionForRank0, rollout.m_lastHoldWithoutRank0);
    }

private:
    // Identifies a hold that is ended while rank 0 is unknown; none holds step 0.
    struct HoldWithoutRank0
    {
        std::uint64_t m_epoch = 0;
        std::uint64_t m_step = 0;

        friend bool operator==(const HoldWithoutRank0 &, const HoldWithoutRank0 &) = default;

        template <typename Hash>
        friend Hash AbslHashValue(Hash hash, const HoldWithoutRank0 &hold)
        {
            return Hash::combine(std::move(hash), hold.m_epoch, hold.m_step);
        }
    };

    RolloutDecision nextWhileHeldWithoutRank0(const std::vector<RankSnapshot> &snapshots,
                                              std::uint64_t step,
                                              std::optional<std::uint64_t> plannedVersion);
    RolloutDecision nextWhileHeld(const std::vector<RankSnapshot> &snapshots, std::uint64_t step,
                                  std::optional<std::uint64_t> plannedVersion);
    RolloutDecision nextWhileRunning(const std::vector<RankSnapshot> &snapshots,
                                     std::optional<std::uint64_t> plannedVersion);
    std::optional<std::uint64_t>
    commonPreparedVersion(const std::vector<RankSnapshot> &snapshots) const;
    void prepare(const std::vector<RankSnapshot> &snapshots, std::uint64_t version,
                 RolloutDecision &decision);

    // Versions up to this are never armed: all known ones when a hold has to be ended without
    // rank 0, and the one that replaced them once it has been ended.
    std::uint64_t m_highestRetiredVersion = 0;
    std::uint64_t m_highestVersionForRank0 = 0; // Of the maps that rank 0 was ordered to prepare.
    HoldWithoutRank0 m_lastHoldWithoutRank0;
};

} // namespace burdockhead
