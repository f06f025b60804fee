#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>

#include <compare>

namespace burdockhead {

// Replica that a request is sent to.
struct RouteTarget
{
    EndpointName m_endpoint;
    SocketAddress m_linkAddress;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;

    friend auto operator<=>(const RouteTarget &, const RouteTarget &) = default;
};

} // namespace burdockhead
