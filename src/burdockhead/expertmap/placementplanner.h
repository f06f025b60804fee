#pragma once

#include <burdockhead/expertmap/grouploads.h>

namespace burdockhead {

// Decides where the experts of a group are held.
class PlacementPlanner
{
public:
    virtual ~PlacementPlanner() = default;

    // The map to use from now on, given the map in force and the load; the version is kept.
    // The same map means that no change pays.
    virtual ExpertMap plan(const ExpertMap &current, const GroupLoads &loads) const = 0;
};

} // namespace burdockhead
