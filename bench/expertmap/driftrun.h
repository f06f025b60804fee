#pragma once

#include "driftmodel.h"
#include <burdockhead/expertmap/incrementalplanner.h>

namespace burdockhead {

// A group and the drift that its planner meets.
struct DriftCase
{
    GroupShape m_shape;
    std::size_t m_layers = 1;
    std::size_t m_experts = 1;
    std::size_t m_periods = 1;
    double m_periodSeconds = 30; // Between plans.
    Drift m_drift = Drift::Slow;
    MoveCosts m_costs;
};

// What a run measured.
struct DriftResult
{
    double m_meanSkew = 0;
    double m_highSkew = 0;         // At the 95th percentile of periods.
    double m_boundSkew = 0;        // Mean of the lower bound.
    double m_expertsLoaded = 0;    // In an hour.
    double m_loadingSeconds = 0;   // In an hour, at the weight store's rate.
    double m_timeLost = 0;         // Over perfect balance, as a share of a balanced step.
    double m_planMilliseconds = 0; // Median.
};

// Runs a planner through a case. A new map goes live once its experts are loaded; until
// then no other is planned.
DriftResult runDrift(const DriftCase &driftCase, const PlacementPlanner &planner,
                     std::uint64_t seed);

} // namespace burdockhead
