#pragma once

#include <burdockhead/rankagent/maprollout.h>
#include <burdockhead/rankagent/mapversionsequence.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead::test {

// Returns the orders of one round of a coordinator.
using RolloutRound =
    std::function<RolloutDecision(MapRollout &rollout, const std::vector<RankSnapshot> &snapshots,
                                  std::optional<std::uint64_t> plannedVersion)>;

// Returns the version of the next map that a coordinator plans.
using VersionSource = std::function<std::uint64_t(MapVersionSequence &versions,
                                                  const std::vector<RankSnapshot> &snapshots,
                                                  std::uint64_t wallMicroseconds)>;

// Draws versions as coordinators do.
std::uint64_t drawVersion(MapVersionSequence &versions, const std::vector<RankSnapshot> &snapshots,
                          std::uint64_t wallMicroseconds);

// How the clock of a coordinator's VM compares to the one that the version of the group's first map
// was taken from. It stands still.
enum class SearchClock : std::uint8_t { Behind, Ahead };

// Bounds of a search, all over a whole run.
struct SearchBounds
{
    std::size_t m_coordinators = 2;
    std::uint8_t m_plans = 1;      // Maps planned by all coordinators together.
    std::uint8_t m_lastStep = 3;   // Of the group; it begins with step 1.
    std::uint8_t m_lateOrders = 0; // In flight while the coordinator that sent them goes on.
    std::uint8_t m_doubledOrders = 0;
    std::uint8_t m_restarts = 0;     // A coordinator ends, and another takes its place.
    std::uint8_t m_droppedPlans = 0; // Plans that a coordinator drops for another one.
    std::uint8_t m_clockJumps = 0;   // Of one coordinator's clock, ahead or back.
    SearchClock m_firstClock = SearchClock::Behind; // Of coordinator 0; the others are behind.
    // Whether the versions of a coordinator that plans later have the higher seed. The searches for
    // both cover all ways in which two coordinators' seeds may differ.
    bool m_areSeedsAscending = true;
    bool m_areLoadsSlow = false;   // A rank reports a map as prepared some time after the order.
    bool m_isRank1Lagging = false; // Coordinators may read old states of rank 1.
    bool m_isRank0Silent = false;  // Coordinators may get no snapshot of rank 0.
    // States that differ only in which coordinator is in which state count as one. The numbers in a
    // trace then change from event to event.
    bool m_areCoordinatorsAlike = true;
    // All ranks have prepared a map, and the group is held before step 2: what a coordinator that
    // has ended leaves behind. Its map is counted among the plans.
    bool m_isHeldAtFirst = false;
    std::size_t m_maxStates = 2000000;
};

struct SearchResult
{
    std::size_t m_states = 0;
    bool m_isExhausted = false;       // All states within the bounds have been visited.
    std::vector<std::string> m_trace; // Shortest way to a split step; empty if there is none.
};

// Searches all interleavings of coordinators, orders, replies, snapshots and steps of a group of
// three ranks for a step that starts with different maps, by content. A coordinator reads one rank
// after the other, in any order, so that a view has states of different times. Orders are carried
// out at any time after they were sent, or never; their replies come late with them.
SearchResult searchRollout(const SearchBounds &bounds, const RolloutRound &round,
                           const VersionSource &drawVersion = test::drawVersion);

} // namespace burdockhead::test
