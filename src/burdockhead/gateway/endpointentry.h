#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>

#include <cstdint>

namespace burdockhead {

// What service discovery says of one endpoint.
struct EndpointEntry
{
    EndpointName m_name;
    GroupName m_service;
    SocketAddress m_address;
    DataCentreName m_dataCentre;
    std::uint32_t m_slots = 1;     // Requests that it runs at once.
    bool m_isLeaving = false;      // Gets nothing new.
    std::uint64_t m_startedAt = 0; // When it started, in milliseconds since 1970; 0: unknown.

    friend bool operator==(const EndpointEntry &, const EndpointEntry &) = default;
};

} // namespace burdockhead
