#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/rankagent/maprollout.h>
#include <burdockhead/rankagent/mapversionsequence.h>
#include <burdockhead/rankagent/orderreplies.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace burdockhead::test {

// Faults of orders and coordinators, each as a probability unless stated otherwise.
struct GroupFaults
{
    double m_replyLost = 0;   // Orders executed whose reply is lost; they are also duplicated.
    double m_late = 0;        // Orders executed many rounds later.
    double m_dropped = 0;     // Orders that never arrive.
    double m_restart = 0;     // Rounds after which a coordinator restarts.
    double m_staleRounds = 0; // Rounds whose snapshots are stale when their orders are sent.
    std::size_t m_coordinators = 1; // Concurrent coordinators, as when one resumes after a freeze.
    // Orders to hold after which the VM of the first coordinator and rank 0 freezes; the other
    // coordinators act only while it is frozen.
    double m_frozen = 0;
    // Snapshots of single ranks that are up to 250 ms older than the others of their round.
    double m_lagging = 0;
    double m_lateReply = 0;   // Replies that arrive in the coordinator's next round.
    double m_droppedPlan = 0; // Rounds before which a coordinator drops its plan for another one.
    double m_clockJump = 0;   // Rounds before which the coordinator's clock jumps, ahead or back.
};

// Returns the next orders; plannedVersion is the version that the coordinator wants.
using NextOrders =
    std::function<RolloutDecision(const std::vector<RankSnapshot> &,
                                  std::optional<std::uint64_t> plannedVersion, Milliseconds age)>;

// Simulates a group of ranks in lock-step that executes orders as engines do, with faults, and
// detects steps that start while two ranks use different maps.
class GroupSimulation
{
public:
    GroupSimulation(std::size_t ranks, const GroupFaults &faults, std::uint64_t seed);

    // Runs a number of coordinator rounds; `makeCoordinator` is called for each start of a
    // coordinator.
    void run(std::size_t rounds, const std::function<NextOrders()> &makeCoordinator);

    // Continues without faults. Returns whether the group ends up running and able to start steps.
    bool recovers(const std::function<NextOrders()> &makeCoordinator);

    bool hasSplit() const { return m_hasSplit; }

    // Ticks at which the group had been held through most of a freeze although a rank other than
    // rank 0 wasn't armed, and holds that ended within a freeze.
    std::size_t needlessHolds() const { return m_needlessHolds; }
    std::size_t holdsEndedWhileFrozen() const { return m_holdsEndedWhileFrozen; }
    std::size_t mapChanges() const { return m_mapChanges; }

private:
    struct Map
    {
        std::uint64_t m_version = 0;
        std::uint64_t m_contentId = 0;

        friend bool operator==(const Map &, const Map &) = default;
    };

    struct Rank
    {
        Map m_map;
        std::optional<Map> m_prepared;
        std::optional<Map> m_loading;
        std::size_t m_loadedAtTick = 0;
        std::optional<ArmedMap> m_armed;
        std::uint64_t m_highestVersion = 0;
        std::uint64_t m_sequence = 0;
    };

    // Reply to an order of an earlier round.
    struct LateReply
    {
        std::uint64_t m_round = 0;
        RankOrder m_order;
        bool m_isDone = false;
    };

    // A coordinator with its state.
    struct Coordinator
    {
        NextOrders m_next;
        MapVersionSequence m_versions{0};
        std::uint64_t m_clock = 0;
        std::optional<std::uint64_t> m_plannedVersion;
        std::uint64_t m_contentId = 0;
        std::vector<RankSnapshot> m_staleSnapshots;
        std::size_t m_staleSnapshotsTick = 0;
        // Snapshots of the last round updated by the replies to its orders, when all were executed.
        std::vector<RankSnapshot> m_repliedSnapshots;
        std::size_t m_repliedSnapshotsTick = 0;
        OrderReplies m_replies;
        std::uint64_t m_round = 0;
        std::vector<LateReply> m_lateReplies;
    };

    struct PendingOrder
    {
        RankOrder m_order;
        std::uint64_t m_contentId = 0;
    };

    double chance();
    void tick();
    void startStep();
    bool execute(const PendingOrder &pending);
    bool sendOrder(const RankOrder &order, std::uint64_t contentId);
    std::vector<RankSnapshot> currentSnapshots() const;
    std::vector<RankSnapshot> snapshots();
    void sendOrders(Coordinator &coordinator, const RolloutDecision &decision,
                    std::vector<RankSnapshot> current, std::size_t snapshotsTick);
    bool isFrozen() const { return m_frozenAtTick <= m_tick && m_tick < m_frozenUntilTick; }
    Coordinator &nextCoordinator();
    Coordinator startCoordinator(const std::function<NextOrders()> &makeCoordinator);
    void plan(Coordinator &coordinator, const std::vector<RankSnapshot> &snapshots);
    void round();

    GroupFaults m_faults;
    Random m_random;
    std::vector<Rank> m_ranks;
    std::uint64_t m_step = 1;
    std::optional<std::uint64_t> m_heldStep; // By the last rank.
    std::size_t m_heldSinceTick = 0;
    std::size_t m_needlessHolds = 0;
    std::size_t m_holdsEndedWhileFrozen = 0;
    std::size_t m_frozenAtTick = 0;
    std::size_t m_frozenUntilTick = 0;
    std::size_t m_tick = 0;
    std::deque<std::vector<RankSnapshot>> m_pastSnapshots; // Of the last ticks, newest first.
    std::multimap<std::size_t, PendingOrder> m_lateOrders;
    std::vector<Coordinator> m_coordinators;
    std::uint64_t m_contentId = 0; // Of the last plan; unique for each plan.
    bool m_hasSplit = false;
    std::size_t m_mapChanges = 0;
};

} // namespace burdockhead::test
