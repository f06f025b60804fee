#pragma once

#include <burdockhead/gateway/slidingwindowcounter.h>

#include <cstddef>

namespace burdockhead {

// Limits on the retries at a service, over all gateways.
struct ServiceRetryBudgetOptions
{
    double m_ratio = 0.2;         // Retries for each request.
    double m_burst = 0;           // Retries that are always allowed.
    Milliseconds m_window{10000}; // The limits apply to any window of this length.

    friend bool operator==(const ServiceRetryBudgetOptions &,
                           const ServiceRetryBudgetOptions &) = default;
};

// One gateway's share of the retry budget: its own requests earn the ratio, and the burst is
// divided among the gateways. The shares add up to no more than the budget however much the
// gateways know of one another, unless one underestimates their number. Protects endpoints that
// fail while clients retry.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(const ServiceRetryBudgetOptions &options);

    void recordRequest(TimePoint now) { m_requests.record(now); }

    // Consumes one retry; false if the budget is exhausted.
    bool tryAcquire(std::size_t gatewayCount, TimePoint now);

private:
    ServiceRetryBudgetOptions m_options;
    SlidingWindowCounter m_requests;
    SlidingWindowCounter m_retries;
};

} // namespace burdockhead
