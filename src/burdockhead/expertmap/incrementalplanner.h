#pragma once

#include <burdockhead/expertmap/placementplanner.h>

namespace burdockhead {

// Costs of a map change, the period over which it has to pay off, and its limits.
struct IncrementalPlannerOptions
{
    double m_secondsPerExpert = 0.05; // Load time at the weight store's throughput.
    double m_horizonSeconds = 600;    // Time for which the load is expected to be stable.
    double m_expertTimeShare = 0.6;   // Share of a balanced step spent in experts.
    double m_loadingSlowdown = 0.05;  // Share of the group's time lost during loading.
    // Layers whose highest rank load exceeds the mean by at most this fraction are left unchanged.
    double m_skewTolerance = 0.02;
    std::size_t m_maxExpertsToLoad = 100'000; // Limit for one change.
};

// Moves load off the most loaded ranks with few moves, and only if the step time saved over the
// horizon exceeds the cost of loading the experts.
class IncrementalPlanner : public PlacementPlanner
{
public:
    IncrementalPlanner(const GroupShape &shape, const IncrementalPlannerOptions &options)
        : m_shape(shape)
        , m_options(options)
    {}

    ExpertMap plan(const ExpertMap &current, const GroupLoads &loads) const override;

    // Returns the seconds of the group's time saved over the horizon by loading this many experts
    // to reduce the skew by this much, less the time lost during loading. Savings begin once all
    // are loaded.
    double netGain(std::size_t expertCount, double skewReduction) const;

private:
    GroupShape m_shape;
    IncrementalPlannerOptions m_options;
};

} // namespace burdockhead
