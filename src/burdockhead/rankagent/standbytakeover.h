#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/ranksnapshot.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// Highest rank whose agent is a standby. The agents of the ranks after rank 0, up to this one,
// coordinate the group while those of lower ranks are unresponsive; two VMs may be down at a time.
constexpr std::uint32_t lastStandbyRank = 2;

// Returns when a standby takes over, from its rank's snapshot and the time when an agent of a lower
// rank last polled it. The timeout is short because a coordinator whose VM freezes while the group
// is held stalls every stream.
TimePoint takeoverTime(const RankSnapshot &snapshot, TimePoint lastPolledAt);

// Returns the ranks polled in a round that reads counts only: the sampled ranks and the standbys.
// When the demand shifts during a change, several such rounds follow each other, and a standby that
// isn't polled meanwhile would take over and plan a second change.
std::vector<std::uint32_t> countRoundRanks(const std::vector<std::uint32_t> &sampled,
                                           const std::vector<std::uint32_t> &known);

} // namespace burdockhead
