#pragma once

#include <burdockhead/routing/chooseroptions.h>
#include <burdockhead/routing/endpointsnapshot.h>
#include <burdockhead/routing/replicatable.h>

#include <vector>

namespace burdockhead {

// Returns the state of every configured endpoint of the table, sorted by name.
std::vector<EndpointSnapshot> takeSnapshot(const ReplicaTable &table, const ChooserOptions &options,
                                           TimePoint now);

// Returns the ratio of the highest to the mean estimated load of the group's endpoints that may
// receive work; 1 if all are equally loaded or idle.
double groupLoadSkew(const ReplicaTable &table, const ChooserOptions &options,
                     const GroupName &group, TimePoint now);

} // namespace burdockhead
