#pragma once

#include <burdockhead/routing/breakeroptions.h>
#include <burdockhead/routing/chooseroptions.h>
#include <burdockhead/routing/datacentredistance.h>
#include <burdockhead/routing/retryoptions.h>

#include <vector>

namespace burdockhead {

// How the replica of a request is chosen.
enum class ChooserType {
    PowerOfChoices,
    RoundRobin,
    LeastReportedLoad,
};

// Everything that an EntryRouter is set up with.
struct RouterOptions
{
    ChooserType m_chooser = ChooserType::PowerOfChoices;
    bool m_gates = true; // Breakers, cold shares, ramps and full queues; off for comparisons.
    bool m_coldLastResort = true; // Cold endpoints beyond their share when there is no other.
    unsigned m_entryCount = 9;    // Entries that share the endpoints.
    DataCentreName m_localDataCentre;
    std::vector<DataCentreDistance> m_distances;      // Data centres that aren't listed ...
    std::chrono::microseconds m_otherRoundTrip{2500}; // ... are this far; the own one is at 0.
    Milliseconds m_comeBackBase{500}; // Refused callers are told a time between this ...
    Milliseconds m_comeBackCap{3000}; // ... and this.
    ChooserOptions m_choice;
    RetryOptions m_retries;
    BreakerOptions m_breakers;
    BreakerOptions m_dataCentreBreakers{.m_consecutiveFailures = 8, .m_minimumSamples = 40};
};

} // namespace burdockhead
