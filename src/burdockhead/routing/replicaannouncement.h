#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>

#include <compare>

namespace burdockhead {

// What membership tells of a process at an endpoint.
enum class ReplicaState {
    Alive,
    Suspect, // Not heard of lately; may still serve.
    Leaving, // Takes no new work.
    Dead,
};

// An agent as membership knows it: which endpoint it serves, where its link is and which
// run of it this is. A higher incarnation replaces a lower one.
struct ReplicaAnnouncement
{
    EndpointName m_endpoint;
    DataCentreName m_dataCentre;
    SocketAddress m_linkAddress;
    Incarnation m_incarnation;
    ReplicaState m_state = ReplicaState::Alive;

    friend auto operator<=>(const ReplicaAnnouncement &, const ReplicaAnnouncement &) = default;
};

} // namespace burdockhead
