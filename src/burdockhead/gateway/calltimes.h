#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>

namespace burdockhead {

// Times of one client's request in a gateway, over all its attempts at endpoints: from them follows
// why a response was late.
class CallTimes
{
public:
    explicit CallTimes(TimePoint arrivedAt)
        : m_arrivedAt(arrivedAt)
        , m_queuedSince(arrivedAt)
    {}

    // Record that the request begins or ends to wait for an endpoint, is sent to one, or has
    // received an event.
    void recordQueued(TimePoint now) { m_queuedSince = now; }
    void recordDequeued(TimePoint now) { m_queueingTime += now - m_queuedSince; }
    void recordSent(TimePoint now);
    void recordEvent(TimePoint now);

    TimePoint arrivedAt() const { return m_arrivedAt; }
    TimePoint sentAt() const { return m_sentAt; }

    // Returns when the last event came; the arrival if none has.
    TimePoint lastEventAt() const { return m_hasEvent ? m_lastEventAt : m_arrivedAt; }

    // Whether an event came since the request was last sent.
    bool hasEventSinceSent() const { return m_hasEvent && m_lastEventAt >= m_sentAt; }

    // The events since the request was last sent, and when the first of them came.
    std::size_t eventsSinceSent() const { return m_eventsSinceSent; }
    TimePoint firstEventSinceSentAt() const { return m_firstEventSinceSentAt; }

    bool hasEvent() const { return m_hasEvent; }

    // Time between arrival and the first event; zero without one.
    Duration firstEventTime() const { return m_firstEventTime; }
    // Total time for which the request wasn't at an endpoint.
    Duration queueingTime() const { return m_queueingTime; }
    // Longest time between two events.
    Duration longestPause() const { return m_longestPause; }

private:
    TimePoint m_arrivedAt;
    TimePoint m_queuedSince;
    TimePoint m_sentAt;
    TimePoint m_lastEventAt;
    Duration m_firstEventTime{0};
    Duration m_queueingTime{0};
    Duration m_longestPause{0};
    bool m_hasEvent = false;
    std::size_t m_eventsSinceSent = 0;
    TimePoint m_firstEventSinceSentAt;
};

} // namespace burdockhead
