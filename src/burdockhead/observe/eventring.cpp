#include <burdockhead/observe/eventring.h>
#include <burdockhead/observe/wallclock.h>

#include <algorithm>

namespace burdockhead {

EventRing::EventRing(ProcessName process, std::size_t capacity)
    : m_process(std::move(process))
    , m_capacity(std::max<std::size_t>(capacity, 1))
{}

void EventRing::record(EventType type, EventSubject subject, std::string reason)
{
    record(type, std::move(subject), std::move(reason), wallMilliseconds());
}

void EventRing::record(EventType type, EventSubject subject, std::string reason,
                       std::uint64_t wallMilliseconds)
{
    const std::scoped_lock lock(m_mutex);
    Event event = {m_clock.tick(wallMilliseconds), m_process, type, std::move(subject),
                   std::move(reason)};
    if (m_events.size() < m_capacity) {
        m_events.push_back(std::move(event));
        return;
    }
    m_events[m_oldestIndex] = std::move(event);
    m_oldestIndex = (m_oldestIndex + 1) % m_capacity;
    ++m_dropped;
}

HybridTime EventRing::stamp()
{
    const std::scoped_lock lock(m_mutex);
    return m_clock.tick(wallMilliseconds());
}

void EventRing::receive(const HybridTime &time)
{
    const std::scoped_lock lock(m_mutex);
    m_clock.receive(time, wallMilliseconds());
}

std::vector<Event> EventRing::events(const EventFilter &filter) const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Event> result;
    for (std::size_t index = 0; index < m_events.size(); ++index) {
        const Event &event = m_events[(m_oldestIndex + index) % m_events.size()];
        if (filter.matches(event))
            result.push_back(event);
    }
    return result;
}

std::uint64_t EventRing::dropped() const
{
    const std::scoped_lock lock(m_mutex);
    return m_dropped;
}

} // namespace burdockhead
