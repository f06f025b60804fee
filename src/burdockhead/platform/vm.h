#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>

namespace burdockhead {

// What a VM of the platform's list runs for the system.
enum class VmRole {
    Entry,
    Endpoint,
};

// One VM of the platform's list, which lags behind reality.
struct Vm
{
    ProcessName m_name;
    VmRole m_role = VmRole::Entry;
    DataCentreName m_dataCentre;
    SocketAddress m_control; // Where the process of the system on it answers its peers.
    bool m_leaving = false;

    friend bool operator==(const Vm &, const Vm &) = default;
};

} // namespace burdockhead
