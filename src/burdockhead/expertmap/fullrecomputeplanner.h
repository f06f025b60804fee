#pragma once

#include <burdockhead/expertmap/placementplanner.h>

namespace burdockhead {

// Computes each placement from scratch: assigns replicas in descending order of load to the least
// loaded rank, regardless of the current placement.
class FullRecomputePlanner : public PlacementPlanner
{
public:
    explicit FullRecomputePlanner(const GroupShape &shape)
        : m_shape(shape)
    {}

    ExpertMap plan(const ExpertMap &current, const GroupLoads &loads) const override;

private:
    GroupShape m_shape;
};

} // namespace burdockhead
