#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/rankagent/maprollout.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace burdockhead::test {

// What happens to orders and to the coordinator.
struct GroupFaults
{
    double m_answerLost = 0; // Orders carried out whose answer is lost; it only repeats them.
    double m_late = 0;       // Orders carried out many rounds later.
    double m_dropped = 0;    // Orders that never arrive.
    double m_restart = 0;    // Rounds after which the coordinator starts anew.
    double m_paused = 0;     // Rounds whose views are old when their orders are given.
    std::size_t m_coordinators = 1; // That act side by side, as when one wakes from a freeze.
    double m_frozen = 0; // Orders to hold after which the VM of the first coordinator and rank 0
                         // freezes; the others act only while it is frozen.
};

// Gives the next orders; planned is the version that the coordinator wants.
using NextOrders = std::function<RolloutStep(
    const std::vector<RankView> &, std::optional<std::uint64_t> planned, Milliseconds age)>;

// A group of ranks in lock-step that carries out orders as engines do, with faults, and notes
// whether a step was ever begun while two ranks had different maps.
class GroupSimulation
{
public:
    GroupSimulation(std::size_t ranks, const GroupFaults &faults, std::uint64_t seed);

    // Runs so many rounds of the coordinator; `makeCoordinator` is called for each start of it.
    void run(std::size_t rounds, const std::function<NextOrders()> &makeCoordinator);

    // Goes on without faults; true if the group ends up free and able to make steps.
    bool recovers(const std::function<NextOrders()> &makeCoordinator);

    bool hasSplit() const { return m_hasSplit; }

    // Moments in which the group was held through most of a freeze although another rank than
    // rank 0 wasn't armed, and holds that ended within a freeze.
    std::size_t needlessHolds() const { return m_needlessHolds; }
    std::size_t holdsEndedWhileFrozen() const { return m_holdsEndedWhileFrozen; }
    std::size_t mapChanges() const { return m_mapChanges; }

private:
    struct Map
    {
        std::uint64_t m_version = 0;
        std::uint64_t m_content = 0;

        friend bool operator==(const Map &, const Map &) = default;
    };

    struct Rank
    {
        Map m_map;
        std::optional<Map> m_prepared;
        std::optional<Map> m_loading;
        std::size_t m_loadedAt = 0;
        std::optional<ArmedMap> m_armed;
        std::uint64_t m_highestVersion = 0;
    };

    // One that gives orders, with what it remembers.
    struct Coordinator
    {
        NextOrders m_next;
        std::optional<std::uint64_t> m_planned;
        std::uint64_t m_content = 0;
        std::vector<RankView> m_oldViews;
        std::size_t m_oldViewsFrom = 0;
        // The last round's with the answers to its orders, when all of them were carried out.
        std::vector<RankView> m_answeredViews;
        std::size_t m_answeredViewsFrom = 0;
    };

    struct Pending
    {
        RankOrder m_order;
        std::uint64_t m_content = 0;
    };

    double chance();
    void tick();
    void beginStep();
    bool carryOut(const Pending &pending);
    bool give(const RankOrder &order, std::uint64_t content);
    std::vector<RankView> views() const;
    bool isFrozen() const { return m_frozenAt <= m_now && m_now < m_frozenUntil; }
    Coordinator &nextCoordinator();
    void round();

    GroupFaults m_faults;
    Random m_random;
    std::vector<Rank> m_ranks;
    std::uint64_t m_step = 1;
    std::optional<std::uint64_t> m_held; // By the last rank.
    std::size_t m_heldSince = 0;
    std::size_t m_needlessHolds = 0;
    std::size_t m_holdsEndedWhileFrozen = 0;
    std::size_t m_frozenAt = 0;
    std::size_t m_frozenUntil = 0;
    std::size_t m_now = 0;
    std::multimap<std::size_t, Pending> m_late;
    std::vector<Coordinator> m_coordinators;
    std::uint64_t m_content = 0; // Of the last plan; another one for each.
    std::uint64_t m_versions = 0;
    bool m_hasSplit = false;
    std::size_t m_mapChanges = 0;
};

} // namespace burdockhead::test
