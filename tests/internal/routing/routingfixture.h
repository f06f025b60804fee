#pragma once

#include <burdockhead/configuration/versionedconfiguration.h>
#include <burdockhead/routing/replicaannouncement.h>
#include <burdockhead/routing/requestattributes.h>

#include <cstdint>

namespace burdockhead {

// Start of virtual time.
inline constexpr TimePoint startTime{Seconds(1000)};

// Creates a small configuration: three data centres, one model group and one service, with
// endpoints e0, e1, ... assigned round robin to the data centres d0, d1, d2. Odd endpoints belong
// to the service.
Configuration makeConfiguration(unsigned endpoints);

// Adds a version to a configuration.
ConfigurationPointer makeVersion(std::uint64_t version, const Configuration &configuration);

EndpointName endpointName(unsigned number);
DataCentreName dataCentreName(unsigned number);

// Creates an announcement of endpoint `number` in its configured data centre.
ReplicaAnnouncement makeAnnouncement(unsigned number, std::uint64_t incarnation,
                                     ReplicaState state = ReplicaState::Alive);

// Create a repeatable request to the model and a non-repeatable one to the service.
RequestAttributes modelRequest();
RequestAttributes paymentRequest();

} // namespace burdockhead
