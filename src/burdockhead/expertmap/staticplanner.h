#pragma once

#include <burdockhead/expertmap/placementplanner.h>

namespace burdockhead {

// Baseline that never changes the map.
class StaticPlanner : public PlacementPlanner
{
public:
    ExpertMap plan(const ExpertMap &current, const GroupLoads &) const override { return current; }
};

} // namespace burdockhead
