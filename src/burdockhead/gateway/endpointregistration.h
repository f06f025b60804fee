#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// An endpoint as registered in service discovery.
struct EndpointRegistration
{
    EndpointName m_name;
    GroupName m_service;
    SocketAddress m_address;
    DataCentreName m_dataCentre;
    std::uint32_t m_slots = 1;     // Requests that it runs concurrently.
    bool m_isLeaving = false;      // Gets no new requests.
    std::uint64_t m_startedAt = 0; // Start time in milliseconds since 1970; 0 if unknown.

    friend bool operator==(const EndpointRegistration &, const EndpointRegistration &) = default;
};

} // namespace burdockhead
