#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace burdockhead {

// Runs functions at points of virtual time, in order.
class EventQueue
{
public:
    using Action = std::function<void()>;

    // Runs the action after that time.
    void after(Duration delay, Action action)
    {
        m_events.push({m_now + delay, m_sequence++, std::move(action)});
    }

    // Runs everything up to and including that time.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().m_at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.m_at;
            event.m_action();
        }
        m_now = end;
    }

    // Virtual time.
    TimePoint now() const { return m_now; }

private:
    struct Event
    {
        TimePoint m_at;
        std::uint64_t m_sequence = 0;
        Action m_action;
    };

    struct Later
    {
        bool operator()(const Event &left, const Event &right) const
        {
            return left.m_at != right.m_at ? left.m_at > right.m_at
                                           : left.m_sequence > right.m_sequence;
        }
    };

    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    TimePoint m_now{Seconds(1000)};
    std::uint64_t m_sequence = 0;
};

} // namespace burdockhead
