#pragma once

#include <cstdint>

namespace burdockhead {

// Event counts since the start of the agent.
struct AgentCounters
{
    std::uint64_t m_dispatches = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_replayed = 0;
    std::uint64_t m_coldStartSignals = 0;
};

} // namespace burdockhead
