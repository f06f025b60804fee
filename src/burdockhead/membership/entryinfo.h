#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/routing/replicaannouncement.h>

namespace burdockhead {

// An entry as membership knows it.
struct EntryInfo
{
    ProcessName m_name;
    DataCentreName m_dataCentre;
    SocketAddress m_controlAddress; // Where its peers reach it.
    SocketAddress m_callerAddress;  // Where callers reach it over HTTP.
    Incarnation m_incarnation;
    ReplicaState m_state = ReplicaState::Alive;

    friend auto operator<=>(const EntryInfo &, const EntryInfo &) = default;
};

} // namespace burdockhead
