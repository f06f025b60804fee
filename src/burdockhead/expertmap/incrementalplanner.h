#pragma once

#include <burdockhead/expertmap/placementplanner.h>

namespace burdockhead {

// What a change of the map costs and how long it is expected to pay.
struct MoveCosts
{
    double m_secondsPerExpert = 0.05; // To load one expert at the weight store's rate.
    double m_horizonSeconds = 600;    // The load is expected to stay alike that long.
    double m_expertShare = 0.6;       // Of a balanced step, the time spent in experts.
    double m_slowdown = 0.05;         // Share of the group's time lost while it loads.
    double m_tolerance = 0.02;        // A layer this close to its mean is left alone.
    std::size_t m_maxLoads = 100'000; // Experts to load in one change.
};

// Relieves the heaviest ranks by few moves, and only if the step time saved over the
// horizon pays for loading the experts.
class IncrementalPlanner : public PlacementPlanner
{
public:
    IncrementalPlanner(const GroupShape &shape, const MoveCosts &costs)
        : m_shape(shape)
        , m_costs(costs)
    {}

    ExpertMap plan(const ExpertMap &current, const GroupLoads &loads) const override;

    // Seconds of the group's time saved over the horizon when that many experts are loaded
    // and the skew falls by that much; gains begin once all are loaded.
    double netGain(std::size_t loads, double skewReduction) const;

private:
    GroupShape m_shape;
    MoveCosts m_costs;
};

} // namespace burdockhead
