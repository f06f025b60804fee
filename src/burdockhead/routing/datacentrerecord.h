#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/routing/circuitbreaker.h>
#include <burdockhead/routing/datacentreramp.h>

#include <cstdint>

namespace burdockhead {

// Routing state of a data centre, kept by an entry.
struct DataCentreRecord
{
    DataCentreName m_name;
    bool m_isConfigured = false;
    bool m_isTakenOut = false;
    std::uint32_t m_localInFlight = 0; // Attempts of this entry in flight.
    double m_roundTripMicroseconds = 0;
    double m_coldCapacity = 0; // Sums over the configured endpoints, in requests.
    double m_warmCapacity = 0;
    CircuitBreaker m_breaker; // Counts only unreachable agents as failures.
    DataCentreRamp m_ramp;
};

} // namespace burdockhead
