#pragma once

#include <cstddef>

namespace burdockhead {

// What a service can take from all gateways together, and how many of its requests are at the
// others.
struct ServiceCapacity
{
    double m_requests = 1;          // At a time.
    double m_slowRequests = 1;      // The same while its events come too slowly.
    std::size_t m_gateways = 1;     // That accept requests, including this one.
    double m_requestsElsewhere = 0; // In flight or queued at the gateways that report their load.
    std::size_t m_unknownGateways = 0; // That accept requests and report no load.

    std::size_t m_minShare = 1; // Of each gateway.

    friend bool operator==(const ServiceCapacity &, const ServiceCapacity &) = default;
};

// Returns how many of `requests` at a time this gateway may send, if it has `ownRequests` in flight
// or queued. The gateways' shares follow their requests while there are more than the service can
// take; otherwise each has its requests and an equal part of what is free. The shares add up to
// what the service can take, and none is idle while another gateway's requests wait. Gateways that
// report nothing are assumed to have as many requests as this one.
double concurrencyShare(double requests, const ServiceCapacity &capacity, double ownRequests);

} // namespace burdockhead
