#pragma once

#include <compare>
#include <cstdint>

namespace burdockhead {

// An agent's word on its endpoint's load, carried on its answers and heartbeats.
struct LoadReport
{
    std::uint32_t m_running = 0;                    // Requests at the endpoint.
    std::uint32_t m_queued = 0;                     // Requests waiting at the agent.
    std::uint32_t m_concurrencyLimit = 0;           // Requests that may run at a time now.
    std::uint32_t m_averageServiceMicroseconds = 0; // Mean time that a request runs, lately.
    bool m_isCold = false;                          // The endpoint is in cold start.
    bool m_isLeaving = false;                       // The endpoint takes no new work.

    friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

} // namespace burdockhead
