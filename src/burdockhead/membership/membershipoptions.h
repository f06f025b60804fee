#pragma once

#include <burdockhead/configuration/configurationparser.h>
#include <burdockhead/platform/objectapi.h>
#include <burdockhead/routing/replicaannouncement.h>

#include <memory>
#include <optional>
#include <vector>

namespace burdockhead {

// What a MembershipService is started with.
struct MembershipOptions
{
    ProcessName m_name;
    VmRole m_role = VmRole::Entry;
    DataCentreName m_dataCentre;
    SocketAddress m_controlAddress;  // Where this process answers its peers; must be fixed.
    SocketAddress m_callerAddress;   // Entries only: the address that callers use.
    SocketAddress m_operatorAddress; // Where this process answers operators.
    Incarnation m_incarnation;
    std::optional<ReplicaAnnouncement> m_announcement; // Agents only.
    std::shared_ptr<ObjectApi> m_platform;             // Agents only use it to start.
    std::vector<Vm> m_seeds;                           // Besides the platform's list of VMs.
    ConfigurationParser m_parser;
};

} // namespace burdockhead
