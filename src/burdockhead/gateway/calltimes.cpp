#include <burdockhead/gateway/calltimes.h>

#include <algorithm>

namespace burdockhead {

void CallTimes::recordEvent(TimePoint now)
{
    if (m_hasEvent)
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    else
        m_firstEventTime = now - m_arrivedAt;
    m_hasEvent = true;
    m_lastEventAt = now;
}

} // namespace burdockhead
