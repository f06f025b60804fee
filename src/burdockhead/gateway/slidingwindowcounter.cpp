#include <burdockhead/gateway/slidingwindowcounter.h>

namespace burdockhead {

bool SlidingWindowCounter::allows(std::size_t limit, TimePoint now)
{
    return count(now) < limit;
}

std::size_t SlidingWindowCounter::count(TimePoint now)
{
    while (!m_timestamps.empty() && m_timestamps.front() + m_window <= now)
        m_timestamps.pop_front();
    return m_timestamps.size();
}

} // namespace burdockhead
