#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/routing/circuitbreaker.h>
#include <burdockhead/routing/datacentreramp.h>

#include <cstdint>

namespace burdockhead {

// What an entry knows of a data centre as a whole.
struct DataCentreRecord
{
    DataCentreName m_name;
    bool m_configured = false;
    bool m_takenOut = false;
    std::uint32_t m_ownInFlight = 0; // Attempts of this entry that have not ended.
    double m_distanceMicroseconds = 0;
    double m_coldCapacity = 0; // Sums over the configured endpoints, in requests.
    double m_warmCapacity = 0;
    CircuitBreaker m_breaker; // Fed by attempts that reached nobody.
    DataCentreRamp m_ramp;
};

} // namespace burdockhead
