#include <burdockhead/gateway/calltimes.h>

#include <algorithm>

namespace burdockhead {

void CallTimes::recordSent(TimePoint now)
{
    m_sentAt = now;
    m_eventsSinceSent = 0;
}

void CallTimes::recordEvent(TimePoint now)
{
    if (m_eventsSinceSent++ == 0)
        m_firstEventSinceSentAt = now;
    if (m_hasEvent)
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    else
        m_firstEventTime = now - m_arrivedAt;
    m_hasEvent = true;
    m_lastEventAt = now;
}

} // namespace burdockhead
