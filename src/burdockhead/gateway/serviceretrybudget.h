#pragma once

#include <burdockhead/gateway/slidingwindowcounter.h>

#include <cstddef>

namespace burdockhead {

// The bound on further attempts at a service, summed over all gateways.
struct ServiceRetryBudgetOptions
{
    double m_ratio = 0.2;         // Further attempts for each request.
    double m_burst = 0;           // Further attempts that are always allowed.
    Milliseconds m_window{10000}; // Any span of this length counts.

    friend bool operator==(const ServiceRetryBudgetOptions &,
                           const ServiceRetryBudgetOptions &) = default;
};

// One gateway's part of the bound: its own requests earn the ratio, and the burst is divided
// among the fleet. The parts add up to no more than the bound whatever the gateways know of
// one another, as long as none assumes a smaller fleet than there is. Answers the load pattern
// of endpoints that fail while clients repeat.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(const ServiceRetryBudgetOptions &options);

    void recordRequest(TimePoint now) { m_requests.record(now); }

    // Takes leave for a further attempt; false when none is left.
    bool tryAcquire(std::size_t fleetSize, TimePoint now);

private:
    ServiceRetryBudgetOptions m_options;
    SlidingWindowCounter m_requests;
    SlidingWindowCounter m_retries;
};

} // namespace burdockhead
