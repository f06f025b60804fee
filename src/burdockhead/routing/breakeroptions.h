#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// When a circuit breaker opens and how it probes its way back.
struct BreakerOptions
{
    unsigned m_consecutiveFailures = 3; // Open after this many in a row,
    double m_errorShare = 0.5;          // or at this share of failures
    unsigned m_minimumSamples = 10;     // once this many attempts were counted.
    Milliseconds m_openBase{500};       // Doubles with each failed probe up to the cap.
    Milliseconds m_openCap{8000};
    Milliseconds m_probeTimeout{2000}; // A probe without an outcome is given up then.
    unsigned m_probesToClose = 2;
};

} // namespace burdockhead
