#pragma once

#include <burdockhead/expertmap/grouploads.h>

namespace burdockhead {

// Strategy that assigns the experts of a group to its ranks.
class PlacementPlanner
{
public:
    virtual ~PlacementPlanner() = default;

    // Returns the next map for the current map and load, with the same version. An unchanged map
    // means that no change pays off.
    virtual ExpertMap plan(const ExpertMap &current, const GroupLoads &loads) const = 0;
};

} // namespace burdockhead
