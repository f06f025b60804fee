#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace burdockhead {

// Runs actions in the order of their virtual time.
class EventQueue
{
public:
    using Action = std::function<void()>;

    // Schedules an action after a delay.
    void schedule(Duration delay, Action action)
    {
        m_events.push({m_now + delay, m_sequence++, std::move(action)});
    }

    // Runs all actions up to and including the given time.
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

    // Returns the virtual time.
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
