#pragma once

#include <burdockhead/gateway/arrivalwindow.h>

#include <cstddef>

namespace burdockhead {

// The bound on further attempts at a service, summed over all gateways.
struct RetryAllowanceOptions
{
    double m_ratio = 0.2;         // Further attempts for each request.
    double m_burst = 0;           // Further attempts that are always allowed.
    Milliseconds m_window{10000}; // Any span of this length counts.

    friend bool operator==(const RetryAllowanceOptions &, const RetryAllowanceOptions &) = default;
};

// One gateway's part of the bound: its own requests earn the ratio, and the burst is divided
// among the fleet. The parts add up to no more than the bound whatever the gateways know of
// one another, as long as none assumes a smaller fleet than there is. Answers the load pattern
// of endpoints that fail while clients repeat.
class RetryAllowance
{
public:
    explicit RetryAllowance(const RetryAllowanceOptions &options);

    void noteRequest(TimePoint now) { m_requests.note(now); }

    // Takes leave for a further attempt; false when none is left.
    bool take(std::size_t fleetSize, TimePoint now);

private:
    RetryAllowanceOptions m_options;
    ArrivalWindow m_requests;
    ArrivalWindow m_taken;
};

} // namespace burdockhead
