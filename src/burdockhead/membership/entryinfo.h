#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/routing/replicaannouncement.h>

namespace burdockhead {

// Holds the addresses, incarnation and state of an entry as known to membership.
struct EntryInfo
{
    ProcessName m_name;
    DataCentreName m_dataCentre;
    SocketAddress m_controlAddress; // For control messages from peers.
    SocketAddress m_callerAddress;  // For HTTP requests from callers.
    Incarnation m_incarnation;
    ReplicaState m_state = ReplicaState::Alive;

    friend auto operator<=>(const EntryInfo &, const EntryInfo &) = default;
};

} // namespace burdockhead
