#pragma once

#include <burdockhead/observe/hybridtime.h>

namespace burdockhead {

// A hybrid logical clock. Pure: it is given the wall clock's milliseconds, which may jump
// back. Not thread-safe.
class HybridClock
{
public:
    // The time of a local event or of a message that is being sent; above all earlier ones.
    HybridTime tick(std::uint64_t wallMilliseconds);

    // Takes in the time that a message carries; the next tick is above it. False when that
    // time is so far ahead of the wall clock that it is taken for a fault and left out.
    bool receive(const HybridTime &time, std::uint64_t wallMilliseconds);

private:
    HybridTime m_last;
};

} // namespace burdockhead
