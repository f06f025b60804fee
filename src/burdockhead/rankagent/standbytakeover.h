#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/rankview.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// The agents beside the ranks after rank 0, up to this one, coordinate the group while the agents
// before them are silent: two VMs may be away at a time.
constexpr std::uint32_t lastDeputy = 2;

// When a deputy takes over, given its rank's view and when an agent before it last asked. Answers
// the load pattern of a coordinator whose VM freezes while it has the group held, which stalls
// every stream.
TimePoint takesOverAt(const RankView &view, TimePoint askedAt);

// The ranks that a round asks which doesn't ask all: those whose counts are read, and the deputies.
// Answers the load pattern of a demand that shifts in the midst of a change: counts are read for
// some rounds then, and a deputy that wasn't asked meanwhile would plan another change.
std::vector<std::uint32_t> ranksOfCountRound(const std::vector<std::uint32_t> &counted,
                                             const std::vector<std::uint32_t> &known);

} // namespace burdockhead
