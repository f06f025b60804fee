#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>

#include <compare>

namespace burdockhead {

// Membership state of an agent.
enum class ReplicaState {
    Alive,
    Suspect, // Missed recent heartbeats; may still serve.
    Leaving, // Accepts no new work.
    Dead,
};

// An agent as announced by membership: its endpoint, the address of its link, and its incarnation.
// A higher incarnation replaces a lower one.
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
