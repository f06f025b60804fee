#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/grouploads.h>
#include <burdockhead/rankagent/engineprotocol.h>

#include <vector>

namespace burdockhead {

// Estimates the demand for a group's experts from the ranks' counts and detects shifts. The demand
// is steady for some seconds and then shifts abruptly, so counts from before a detected shift are
// discarded.
class ExpertDemand
{
public:
    ExpertDemand(std::size_t layers, std::size_t experts);

    // Adds a rank's counts since its previous reading.
    void add(const ExpertCounts &counts);

    // Ends a round of counts. Returns whether the demand has shifted.
    bool endRound();

    const GroupLoads &loads() const { return m_loads; }

    // Share of the tokens' expert selections that went to different experts in the last round than
    // before.
    double shiftedShare() const { return m_shiftedShare; }

    // Whether enough has been counted since the last shift to plan a map. The round that detects a
    // shift also contains selections from before it, so a further round has to agree with it.
    bool hasEnoughData() const;

private:
    GroupLoads emptyLoads() const;

    std::size_t m_layers;
    std::size_t m_experts;
    GroupLoads m_loads;        // Since the last shift, exponentially decayed per round.
    GroupLoads m_currentRound; // Not yet merged into m_loads.
    double m_shiftedShare = 0; // Of the last round.
    double m_averageShare = 0; // Moving average of m_shiftedShare over rounds without a shift.
    bool m_isStable = true;
};

} // namespace burdockhead
