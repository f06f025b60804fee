#pragma once

#include <burdockhead/admission/loadreport.h>
#include <burdockhead/routing/breakerstate.h>
#include <burdockhead/routing/replicaannouncement.h>

#include <cstdint>

namespace burdockhead {

// What an entry knows of one configured endpoint, for metrics.
struct EndpointSnapshot
{
    EndpointName m_endpoint;
    GroupName m_group;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation; // 0 when it was never announced.
    ReplicaState m_state = ReplicaState::Dead;
    LoadReport m_report;             // The last one; empty when none came from this incarnation.
    std::uint32_t m_ownInFlight = 0; // Attempts of this entry that have not ended.
    double m_estimatedLoad = 0;      // Requests at the endpoint and its agent, estimated.
    BreakerState m_breakerState = BreakerState::Closed;
};

} // namespace burdockhead
