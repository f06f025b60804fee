#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/rankorder.h>
#include <burdockhead/rankagent/rankview.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace burdockhead {

// What a round of a rollout comes to.
struct RolloutStep
{
    std::vector<RankOrder> m_orders; // To be given in any order.
    bool m_needsPlan = false;        // A map with a higher version has to be planned first.
    bool m_isHolding = false;        // The group is or will be held; hurry.
    bool m_isDone = false;           // The planned map is in use on every rank.
};

// Brings a group of ranks from one expert map to the next, so that no step is begun while two
// ranks have different maps. Works out each round's orders from what the ranks say, so that an
// order that was lost is given again, and a process that starts in the midst of a change ends it.
//
// The map is prepared on all ranks. Then the last rank is told to hold the group before a step
// that is a little ahead, and once it says that it does, all ranks are armed for that step, rank
// 0 after the others. The group goes on when all say that they are armed. Nothing is ever armed
// without a hold, and a hold is released only when all ranks are armed alike: an order whose
// answer was lost may be carried out seconds later, and one that arms a rank does harm only
// before its step has begun. For the same reason a version that any rank was told not to use is
// never armed again.
//
// A change that has begun can be ended without rank 0, whose VM the coordinator shares and which
// may have frozen with it.
class MapRollout
{
public:
    // The next orders, from the views of all ranks, or of all but rank 0, in the order of their
    // ranks, and the version that is planned; none without a plan. Views of that age that are too
    // old give no orders: this process may have stood still while another one changed the maps.
    RolloutStep next(const std::vector<RankView> &views, std::optional<std::uint64_t> planned,
                     Milliseconds age);

    // A version higher than all that the ranks tell of.
    static std::uint64_t nextVersion(const std::vector<RankView> &views);

private:
    // A hold that is ended without rank 0.
    struct Release
    {
        std::uint64_t m_epoch = 0;
        std::uint64_t m_step = 0;

        friend bool operator==(const Release &, const Release &) = default;
    };

    RolloutStep nextWhileHeldWithoutFirst(const std::vector<RankView> &views, std::uint64_t step,
                                          std::optional<std::uint64_t> planned);
    RolloutStep nextWhileHeld(const std::vector<RankView> &views, std::uint64_t step,
                              std::optional<std::uint64_t> planned);
    RolloutStep nextWhileFree(const std::vector<RankView> &views,
                              std::optional<std::uint64_t> planned) const;
    std::optional<std::uint64_t> commonPrepared(const std::vector<RankView> &views) const;
    void disarm(const std::vector<RankView> &views, RolloutStep &result);

    std::uint64_t m_highestDisarmed = 0;
    std::optional<Release> m_release; // The last one that was begun.
};

} // namespace burdockhead
