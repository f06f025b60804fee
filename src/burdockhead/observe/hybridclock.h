#pragma once

#include <burdockhead/observe/hybridtime.h>

namespace burdockhead {

// A hybrid logical clock. Doesn't read the wall clock itself: the caller passes its
// milliseconds, which may jump back. Not thread-safe.
class HybridClock
{
public:
    // Returns the timestamp of a local event or an outgoing message; higher than all earlier ones.
    HybridTime tick(std::uint64_t wallMilliseconds);

    // Advances the clock by a message's timestamp, so that the next tick is higher. Returns
    // false and ignores a timestamp that is implausibly far ahead of the wall clock.
    bool receive(const HybridTime &time, std::uint64_t wallMilliseconds);

private:
    HybridTime m_last;
};

} // namespace burdockhead
