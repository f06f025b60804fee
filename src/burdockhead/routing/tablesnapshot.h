#pragma once

#include <burdockhead/routing/chooseroptions.h>
#include <burdockhead/routing/endpointsnapshot.h>
#include <burdockhead/routing/replicatable.h>

#include <vector>

namespace burdockhead {

// Every configured endpoint of the table, sorted by name.
std::vector<EndpointSnapshot> takeSnapshot(const ReplicaTable &table, const ChooserOptions &options,
                                           TimePoint now);

// Highest over mean estimated load of the group's endpoints that may receive work; 1 when
// all are alike or idle.
double skewOf(const ReplicaTable &table, const ChooserOptions &options, const GroupName &group,
              TimePoint now);

} // namespace burdockhead
