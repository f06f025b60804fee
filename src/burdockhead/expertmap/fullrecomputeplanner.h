#pragma once

#include <burdockhead/expertmap/placementplanner.h>

namespace burdockhead {

// Places all experts anew each time, the heaviest share first onto the lightest rank,
// without regard to where they are now.
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
