#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Thresholds for opening a circuit breaker, and how it recovers.
struct BreakerOptions
{
    unsigned m_failureThreshold = 3;     // Opens after this many in a row,
    double m_errorRateThreshold = 0.5;   // or at this error rate
    unsigned m_minimumSamples = 10;      // once this many attempts have been counted.
    Milliseconds m_openBackoffBase{500}; // Doubles with each failed probe up to the cap.
    Milliseconds m_openBackoffCap{8000};
    Milliseconds m_probeTimeout{2000}; // A probe without an outcome is ignored after this.
    unsigned m_probesToClose = 2;
};

} // namespace burdockhead
