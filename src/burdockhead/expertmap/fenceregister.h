#pragma once

#include <cstdint>

namespace burdockhead {

// Rejects orders with a lower fencing token than one already accepted, on behalf of endpoints
// that don't check fencing tokens themselves.
class FenceRegister
{
public:
    // Rejects tokens below the given one, which the platform or the endpoint reports after a
    // restart.
    explicit FenceRegister(std::uint64_t lowest = 0)
        : m_highest(lowest)
    {}

    // Returns true if the order may be sent to the endpoint.
    bool accept(std::uint64_t fence)
    {
        if (fence < m_highest)
            return false;
        m_highest = fence;
        return true;
    }

    // Returns the highest token accepted.
    std::uint64_t highest() const { return m_highest; }

private:
    std::uint64_t m_highest;
};

} // namespace burdockhead
