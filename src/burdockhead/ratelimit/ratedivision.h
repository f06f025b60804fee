#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/ratelimit/requestpacer.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace burdockhead {

// The recent requests of a service at one gateway.
struct GatewayDemand
{
    ProcessName m_gateway;
    double m_requests = 0;

    friend bool operator==(const GatewayDemand &, const GatewayDemand &) = default;
};

// Divides the rates that endpoints of a service name among gateways by their demand. The parts add
// up to no more than the rate, if all gateways know the same demand.
//
// Where there are so many gateways that one request of each would be too many at once, only some
// use an endpoint: those with the most demand, and of equal ones those that a hash chooses, which
// are others for each endpoint.
class RateDivision
{
public:
    RateDivision(const GatewayDemand &local, const std::vector<GatewayDemand> &others);

    // Returns this gateway's part of the rate that an endpoint names.
    RequestPace localPart(double requestsPerSecond, const EndpointName &endpoint) const;

private:
    struct Candidate
    {
        double m_requests = 0;
        int m_magnitude = 0; // Of the requests, so that small differences don't change the order.
        std::uint64_t m_hash = 0;
        bool m_isLocal = false;
    };

    static Candidate makeCandidate(const GatewayDemand &demand, bool isLocal);

    std::vector<Candidate> m_candidates; // Gateways with demand, this one first.
};

} // namespace burdockhead
