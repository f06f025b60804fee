#pragma once

#include <burdockhead/configuration/configurationparser.h>
#include <burdockhead/platform/objectapi.h>
#include <burdockhead/routing/replicaannouncement.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace burdockhead {

// Construction parameters of a MembershipService.
struct MembershipOptions
{
    ProcessName m_name;
    VmRole m_role = VmRole::Entry;
    DataCentreName m_dataCentre;
    SocketAddress m_controlAddress; // For control messages from peers; must be a fixed port.
    std::size_t m_maxControlConnections = 1000; // That peers may have open there.
    SocketAddress m_callerAddress;              // For HTTP requests from callers; entries only.
    SocketAddress m_operatorAddress;            // For requests from operators.
    Incarnation m_incarnation;
    std::optional<ReplicaAnnouncement> m_announcement; // Agents only.
    std::shared_ptr<ObjectApi> m_platform; // Agents use it only while they know no entry.
    std::vector<Vm> m_seeds;               // Used in addition to the platform's list of VMs.
    ConfigurationParser m_parser;
};

} // namespace burdockhead
