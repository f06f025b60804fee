#pragma once

#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/gateway/loadtable.h>
#include <burdockhead/gateway/peertable.h>
#include <burdockhead/ratelimit/endpointrates.h>
#include <burdockhead/ratelimit/ratedivision.h>

namespace burdockhead {

// Sets what this gateway may send to each endpoint that names a rate: its part by the requests that
// all gateways report. Protects an endpoint in need from the gateways together, none of which knows
// what the others have sent.
class EndpointPaces
{
public:
    EndpointPaces(EndpointTable &endpoints, const EndpointRates &rates, const LoadTable &loads,
                  const PeerTable &peers);

    // To be called a few times a second, and when an endpoint has named another rate.
    void update(TimePoint now);

private:
    RateDivision division(const GroupName &service, TimePoint now) const;

    EndpointTable &m_endpoints;
    const EndpointRates &m_rates;
    const LoadTable &m_loads;
    const PeerTable &m_peers;
};

} // namespace burdockhead
