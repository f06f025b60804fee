#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Limits on retries and hedges.
struct RetryOptions
{
    unsigned m_maxAttempts = 4; // Includes the first attempt.
    double m_budgetRatio = 0.1; // Budget tokens added per request.
    double m_budgetBurst = 10;  // Maximum number of tokens per kind.
    Milliseconds m_backoffBase{20};
    Milliseconds m_backoffCap{1000};
    bool m_isUnlimited = false; // Disables budget and backoff; for benchmarks only.
};

} // namespace burdockhead
