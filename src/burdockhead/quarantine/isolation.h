#pragma once

#include <cstddef>

namespace burdockhead {

// Returns whether a gateway sends its isolated requests to the endpoint with that index, both
// counted in an order that all gateways share. Gateways divide the endpoints, so that isolated
// requests of different gateways don't meet at one as long as there are enough endpoints.
constexpr bool isIsolationEndpoint(std::size_t endpoint, std::size_t endpointCount,
                                   std::size_t gateway, std::size_t gatewayCount)
{
    if (gatewayCount == 0 || endpointCount == 0)
        return true;
    return endpointCount >= gatewayCount ? endpoint % gatewayCount == gateway % gatewayCount
                                         : gateway % endpointCount == endpoint;
}

} // namespace burdockhead
