#pragma once

#include "standinsupport.h"
#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <deque>

namespace burdockhead {

// The prompts whose prefixes the engine holds in a limited memory, least recently used out
// first, and the events it publishes about them: late, and with gaps when told so.
class PrefixCache
{
public:
    // Keeps that many prefixes and shows each event after the lag.
    PrefixCache(std::size_t capacity, Milliseconds eventLag);

    // Uses a prefix at that time; true when it was held.
    bool use(std::uint64_t prefixHash, TimePoint now);

    // Forgets all prefixes, as a restart does.
    void clear(TimePoint now);

    // While set, events are numbered but not published.
    void setGap(bool gap) { m_gap = gap; }

    // Published events numbered above `after`, oldest first.
    Json eventsAfter(std::uint64_t after, TimePoint now) const;

private:
    struct Event
    {
        std::uint64_t m_sequence = 0;
        const char *m_type = "";
        std::uint64_t m_prefixHash = 0;
        TimePoint m_visibleFrom;
    };

    void publish(const char *type, std::uint64_t prefixHash, TimePoint now);

    std::size_t m_capacity;
    Milliseconds m_eventLag;
    std::deque<std::uint64_t> m_held; // The most recently used one first.
    std::deque<Event> m_events;
    std::uint64_t m_sequence = 0;
    bool m_gap = false;
};

} // namespace burdockhead
