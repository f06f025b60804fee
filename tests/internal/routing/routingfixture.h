#pragma once

#include <burdockhead/configuration/versionedconfiguration.h>
#include <burdockhead/routing/replicaannouncement.h>
#include <burdockhead/routing/requestattributes.h>

#include <cstdint>

namespace burdockhead {

// The time at which virtual time starts.
inline constexpr TimePoint startTime{Seconds(1000)};

// A small installation: three data centres, one model group and one service, with endpoints
// e0, e1, ... in turn over the data centres d0, d1, d2. Odd endpoints belong to the service.
Configuration makeConfiguration(unsigned endpoints);

// Wraps a configuration with a version.
ConfigurationPointer makeVersion(std::uint64_t version, const Configuration &configuration);

EndpointName endpointName(unsigned number);
DataCentreName dataCentreName(unsigned number);

// An announcement of endpoint `number` in its configured data centre.
ReplicaAnnouncement makeAnnouncement(unsigned number, std::uint64_t incarnation,
                                     ReplicaState state = ReplicaState::Alive);

// A repeatable request to the model, or one to the service that may not be repeated.
RequestAttributes modelRequest();
RequestAttributes paymentRequest();

} // namespace burdockhead
