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

// What a gateway believes of its share of the retry budget.
struct RetryBudgetState
{
    std::size_t m_requests = 0; // In the window.
    std::size_t m_retries = 0;  // The same.
    double m_allowed = 0;       // Retries in the window.

    friend bool operator==(const RetryBudgetState &, const RetryBudgetState &) = default;
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

    RetryBudgetState state(std::size_t gatewayCount, TimePoint now);

    // Consumes one retry; false if the budget is exhausted.
    bool tryAcquire(std::size_t gatewayCount, TimePoint now);

private:
    ServiceRetryBudgetOptions m_options;
    SlidingWindowCounter m_requests;
    SlidingWindowCounter m_retries;
};

} // namespace burdockhead
