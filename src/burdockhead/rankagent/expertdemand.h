#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/grouploads.h>
#include <burdockhead/rankagent/enginedialect.h>

#include <map>
#include <vector>

namespace burdockhead {

// How much the experts of a group are in demand, from what its ranks have counted since they
// started. Answers the load pattern of a demand that is steady for some seconds and then
// shifts at once: what was counted before a shift is forgotten when the shift shows.
class ExpertDemand
{
public:
    ExpertDemand(std::size_t layers, std::size_t experts);

    // Takes the counts of a rank; a rank that has started again counts anew.
    void add(std::uint32_t rank, std::uint64_t startedAt, const ExpertCounts &counts);

    // Ends a round of counts. True when they show that the demand has shifted.
    bool endRound();

    const GroupLoads &loads() const { return m_loads; }

    // Whether enough has been counted since the last shift to plan by. The round that shows a
    // shift counts choices from before it too, so another one has to agree with it.
    bool isTelling() const;

private:
    struct Seen
    {
        std::uint64_t m_startedAt = 0;
        std::vector<std::uint64_t> m_counts;
    };

    GroupLoads emptyLoads() const;

    std::size_t m_layers;
    std::size_t m_experts;
    GroupLoads m_loads;  // Since the last shift, earlier rounds for less.
    GroupLoads m_recent; // Not yet taken into the others.
    std::map<std::uint32_t, Seen> m_seen;
    bool m_isSettled = true;
};

} // namespace burdockhead
