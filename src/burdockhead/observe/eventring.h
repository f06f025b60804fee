#pragma once

#include <burdockhead/observe/event.h>
#include <burdockhead/observe/eventfilter.h>
#include <burdockhead/observe/hybridclock.h>

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace burdockhead {

// The latest events of one process, with its hybrid clock. The oldest event gives way when
// the ring is full. Thread-safe; its lock is never held while calling out.
class EventRing
{
public:
    EventRing(ProcessName process, std::size_t capacity);

    // Records an event now. The wall clock's time is handed in for tests.
    void record(EventType type, EventSubject subject, std::string reason);
    void record(EventType type, EventSubject subject, std::string reason,
                std::uint64_t wallMilliseconds);

    // The time to put into a message that is being sent to another process.
    HybridTime stamp();

    // Takes in the time that a message from another process carries.
    void receive(const HybridTime &time);

    // The events that match, in order of time.
    std::vector<Event> events(const EventFilter &filter) const;

    // Events that have given way so far.
    std::uint64_t dropped() const;

private:
    const ProcessName m_process;
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    HybridClock m_clock;
    std::vector<Event> m_events; // Once full, m_next is the oldest.
    std::size_t m_next = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace burdockhead
