#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Bounds on further attempts.
struct RetryOptions
{
    unsigned m_maxAttempts = 4; // The first one included.
    double m_extraShare = 0.1;  // Retries and hedges earned by each request.
    double m_reserve = 10;      // Retries and hedges that a kind can save up.
    Milliseconds m_backoffBase{20};
    Milliseconds m_backoffCap{1000};
    bool m_unlimited = false; // Neither budget nor backoff; for comparisons only.
};

} // namespace burdockhead
