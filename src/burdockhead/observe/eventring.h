#pragma once

#include <burdockhead/observe/event.h>
#include <burdockhead/observe/eventfilter.h>
#include <burdockhead/observe/hybridclock.h>

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

namespace burdockhead {

// A ring buffer of the latest events of one process, with the process's hybrid clock. When
// full, overwrites the oldest event. Thread-safe; calls no other component under its lock.
class EventRing
{
public:
    EventRing(ProcessName process, std::size_t capacity);

    // Records an event at the current time. Tests pass the wall-clock time explicitly.
    void record(EventType type, EventSubject subject, std::string reason);
    void record(EventType type, EventSubject subject, std::string reason,
                std::uint64_t wallMilliseconds);

    // Returns the timestamp for a message to another process.
    HybridTime stamp();

    // Advances the hybrid clock by the timestamp of a message from another process.
    void receive(const HybridTime &time);

    // Returns the matching events, ordered by time.
    std::vector<Event> events(const EventFilter &filter) const;

    // Returns the number of events overwritten so far.
    std::uint64_t dropped() const;

private:
    const ProcessName m_process;
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    HybridClock m_clock;
    std::vector<Event> m_events; // Once full, m_oldestIndex is the oldest event.
    std::size_t m_oldestIndex = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace burdockhead
