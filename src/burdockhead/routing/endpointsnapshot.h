#pragma once

#include <burdockhead/admission/loadreport.h>
#include <burdockhead/routing/breakerstate.h>
#include <burdockhead/routing/replicaannouncement.h>

#include <cstdint>

namespace burdockhead {

// Routing state of one configured endpoint, for metrics.
struct EndpointSnapshot
{
    EndpointName m_endpoint;
    GroupName m_group;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation; // 0 if the endpoint was never announced.
    ReplicaState m_state = ReplicaState::Dead;
    LoadReport m_report;               // The last one; empty if this incarnation has sent none.
    std::uint32_t m_localInFlight = 0; // Attempts of this entry in flight.
    double m_estimatedLoad = 0;        // Estimated requests at the endpoint and its agent.
    BreakerState m_breakerState = BreakerState::Closed;
};

} // namespace burdockhead
