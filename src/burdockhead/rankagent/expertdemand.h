#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/grouploads.h>
#include <burdockhead/rankagent/engineprotocol.h>

#include <vector>

namespace burdockhead {

// How much the experts of a group are in demand, from what its ranks have counted. Answers the load
// pattern of a demand that is steady for some seconds and then shifts at once: what was counted
// before a shift is forgotten when the shift shows.
class ExpertDemand
{
public:
    ExpertDemand(std::size_t layers, std::size_t experts);

    // Takes what a rank has counted since it was last asked.
    void add(const ExpertCounts &counts);

    // Ends a round of counts. True when they show that the demand has shifted.
    bool endRound();

    const GroupLoads &loads() const { return m_loads; }

    // The part of the choices that went to other experts in the last round than before.
    double movedPart() const { return m_movedPart; }

    // Whether enough has been counted since the last shift to plan by. The round that shows a
    // shift counts choices from before it too, so another one has to agree with it.
    bool isTelling() const;

private:
    GroupLoads emptyLoads() const;

    std::size_t m_layers;
    std::size_t m_experts;
    GroupLoads m_loads;     // Since the last shift, earlier rounds for less.
    GroupLoads m_recent;    // Not yet taken into the others.
    double m_movedPart = 0; // Of the choices, in the last round.
    double m_usualPart = 0; // The same in rounds without a shift.
    bool m_isSettled = true;
};

} // namespace burdockhead
