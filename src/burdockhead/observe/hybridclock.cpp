#include <burdockhead/observe/hybridclock.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Bounds how far one VM with a wrong clock can advance the clocks of other VMs.
constexpr std::uint64_t maxSkewMilliseconds = 60000;

} // namespace

HybridTime HybridClock::tick(std::uint64_t wallMilliseconds)
{
    if (wallMilliseconds > m_last.m_milliseconds)
        m_last = {wallMilliseconds, 0};
    else
        ++m_last.m_counter;
    return m_last;
}

bool HybridClock::receive(const HybridTime &time, std::uint64_t wallMilliseconds)
{
    if (time.m_milliseconds > wallMilliseconds + maxSkewMilliseconds)
        return false;
    m_last = std::max(m_last, time);
    return true;
}

} // namespace burdockhead
