#pragma once

#include <cstdint>

namespace burdockhead {

// Refuses orders that carry an older fencing number than one already accepted, in front of
// endpoints that don't check by themselves.
class FenceRegister
{
public:
    // Starts with a number below which nothing is accepted: what the platform or the
    // endpoint tells after a restart.
    explicit FenceRegister(std::uint64_t lowest = 0)
        : m_highest(lowest)
    {}

    // True when the order may go to the endpoint.
    bool accept(std::uint64_t fence)
    {
        if (fence < m_highest)
            return false;
        m_highest = fence;
        return true;
    }

    // The highest number accepted.
    std::uint64_t highest() const { return m_highest; }

private:
    std::uint64_t m_highest;
};

} // namespace burdockhead
