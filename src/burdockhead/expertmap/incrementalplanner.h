#pragma once

#include <burdockhead/expertmap/placementplanner.h>

namespace burdockhead {

// Costs of a map change, and the period over which it has to pay off.
struct IncrementalPlannerOptions
{
    double m_secondsPerExpert = 0.05;         // Load time at the weight store's throughput.
    double m_horizonSeconds = 600;            // Time for which the load is expected to be stable.
    double m_expertTimeShare = 0.6;           // Share of a balanced step spent in experts.
    double m_loadingSlowdown = 0.05;          // Share of the group's time lost during loading.
    double m_skewTolerance = 0.02;            // Layers within this share above the mean are kept.
    std::size_t m_maxExpertsToLoad = 100'000; // Limit for one change.
};

// Moves load off the most loaded ranks with few moves, and only if the step time saved over the
// horizon exceeds the cost of loading the experts.
class IncrementalPlanner : public PlacementPlanner
{
public:
    IncrementalPlanner(const GroupShape &shape, const IncrementalPlannerOptions &costs)
        : m_shape(shape)
        , m_costs(costs)
    {}

    ExpertMap plan(const ExpertMap &current, const GroupLoads &loads) const override;

    // Returns the seconds of the group's time saved over the horizon by loading this many experts
    // to reduce the skew by this much. Savings begin once all are loaded.
    double netGain(std::size_t expertCount, double skewReduction) const;

private:
    GroupShape m_shape;
    IncrementalPlannerOptions m_costs;
};

} // namespace burdockhead
