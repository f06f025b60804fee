#pragma once

#include <burdockhead/routing/breakeroptions.h>
#include <burdockhead/routing/chooseroptions.h>
#include <burdockhead/routing/datacentreroundtrip.h>
#include <burdockhead/routing/retryoptions.h>

#include <vector>

namespace burdockhead {

// Algorithm for choosing a replica.
enum class ChooserType {
    PowerOfChoices,
    RoundRobin,
    LeastReportedLoad,
};

// Options of an EntryRouter.
struct RouterOptions
{
    ChooserType m_chooser = ChooserType::PowerOfChoices;
    bool m_hasFilters = true; // Breakers, cold shares, ramps, queue limits; off for comparisons.
    bool m_hasColdFallback = true; // Exceeds the cold share if no other endpoint is left.
    unsigned m_entryCount = 9;     // Number of entries that share the endpoints.
    DataCentreName m_localDataCentre;
    std::vector<DataCentreRoundTrip> m_roundTrips;      // Data centres not listed here
    std::chrono::microseconds m_defaultRoundTrip{2500}; // use this one; the local one uses 0.
    Milliseconds m_retryAfterMinimum{500};              // Refused callers are asked to retry after
    Milliseconds m_retryAfterMaximum{3000};             // a random delay between these two.
    ChooserOptions m_chooserOptions;
    RetryOptions m_retries;
    BreakerOptions m_breakers;
    BreakerOptions m_dataCentreBreakers{.m_failureThreshold = 8, .m_minimumSamples = 40};
};

} // namespace burdockhead
