#pragma once

#include <compare>
#include <cstdint>

namespace burdockhead {

// The load of an endpoint, which its agent sends with responses and heartbeats.
struct LoadReport
{
    std::uint32_t m_running = 0;                    // Requests running at the endpoint.
    std::uint32_t m_queued = 0;                     // Requests queued at the agent.
    std::uint32_t m_concurrencyLimit = 0;           // Current maximum of running requests.
    std::uint32_t m_averageServiceMicroseconds = 0; // Moving average of the run time.
    bool m_isCold = false;                          // The endpoint is in cold start.
    bool m_isLeaving = false;                       // The endpoint accepts no new requests.

    friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

} // namespace burdockhead
