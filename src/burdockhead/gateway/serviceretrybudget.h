#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <deque>

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
    std::size_t m_requests = 0; // In the last window and the one before it.
    std::size_t m_retries = 0;  // That are waiting or unanswered, or arrived in the last window.
    double m_available = 0;     // Further retries that are allowed now.

    friend bool operator==(const RetryBudgetState &, const RetryBudgetState &) = default;
};

// One gateway's share of the retry budget: its own requests earn the ratio, and the burst is
// divided among the gateways. Protects endpoints that fail while clients retry.
//
// The platform allows the ratio of the requests in the same window or in the one before it,
// whichever has more. Half of the requests in both together is never more than that, and adds up
// over gateways that decide at different times, and over the runs of a gateway that is restarted.
// So retries since any time within the last window may be the ratio of half of the requests since a
// window before that time.
//
// A retry may wait in a queue or for a connection after it is allowed, and arrives before it is
// answered or given up. So it counts as arriving now until then.
class ServiceRetryBudget
{
public:
    explicit ServiceRetryBudget(const ServiceRetryBudgetOptions &options);

    void setOptions(const ServiceRetryBudgetOptions &options) { m_options = options; }

    void recordRequest(TimePoint now) { m_requests.push_back(now); }

    // Both are given this gateway's part of the burst, from 0 to 1.
    RetryBudgetState state(double burstShare, TimePoint now);

    // Begins one retry; false if the budget is exhausted. Each retry ends by one of the two
    // functions below.
    bool tryBegin(double burstShare, TimePoint now);

    // Ends a retry that was sent: its response has begun, or its connection has ended.
    void end(TimePoint now);

    // Ends a retry of which nothing was sent.
    void cancel();

private:
    void removeExpired(TimePoint now);

    ServiceRetryBudgetOptions m_options;
    std::deque<TimePoint> m_requests; // Of two windows.
    std::size_t m_openRetries = 0;    // Begun and not ended.
    std::deque<TimePoint> m_arrivals; // The latest possible ones of retries, of one window.
};

} // namespace burdockhead
