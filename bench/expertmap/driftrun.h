#pragma once

#include "driftmodel.h"
#include <burdockhead/expertmap/incrementalplanner.h>

namespace burdockhead {

// Benchmark case: a group, and the drift of its load.
struct DriftCase
{
    GroupShape m_shape;
    std::size_t m_layers = 1;
    std::size_t m_experts = 1;
    std::size_t m_periodCount = 1;
    double m_periodSeconds = 30; // Between plans.
    Drift m_drift = Drift::Slow;
    IncrementalPlannerOptions m_costs;
};

// Measurements of a run.
struct DriftResult
{
    double m_meanSkew = 0;
    double m_highSkew = 0;         // 95th percentile over the periods.
    double m_boundSkew = 0;        // Mean of the lower bound.
    double m_expertsLoaded = 0;    // Per hour.
    double m_loadingSeconds = 0;   // Per hour, at the weight store's throughput.
    double m_timeLost = 0;         // Over perfect balance, as a share of a balanced step.
    double m_planMilliseconds = 0; // Median.
};

// Simulates a planner in a case. A new map goes live once its experts are loaded; until then no
// other map is planned.
DriftResult runDrift(const DriftCase &driftCase, const PlacementPlanner &planner,
                     std::uint64_t seed);

} // namespace burdockhead
