#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/gateway/endpointslowness.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// Requests of one service at a gateway.
struct ServiceLoad
{
    GroupName m_service;
    std::uint64_t m_requests = 0; // In flight or queued.
    std::uint64_t m_arrivals = 0; // From clients, in the last ten seconds.

    friend bool operator==(const ServiceLoad &, const ServiceLoad &) = default;
};

// The load of a gateway, as published by it and forwarded by others.
struct GatewayLoad
{
    ProcessName m_gateway;
    std::uint64_t m_incarnation = 0; // Increases with each start of the process.
    std::uint64_t m_sequence = 0;    // Increases with each report of the process.
    std::vector<ServiceLoad> m_services;
    std::vector<EndpointSlowness> m_slowEndpoints; // That coordinators have told this gateway.

    friend bool operator==(const GatewayLoad &, const GatewayLoad &) = default;
};

} // namespace burdockhead
