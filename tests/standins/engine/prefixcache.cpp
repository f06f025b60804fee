#include "prefixcache.h"

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::size_t maxEvents = 4096;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity, Milliseconds eventLag)
    : m_capacity(capacity)
    , m_eventLag(eventLag)
{}

bool PrefixCache::use(std::uint64_t prefixHash, TimePoint now)
{
    const auto held = std::find(m_held.begin(), m_held.end(), prefixHash);
    const bool hit = held != m_held.end();
    if (hit)
        m_held.erase(held);
    else
        publish("stored", prefixHash, now);
    m_held.push_front(prefixHash);
    if (m_held.size() > m_capacity) {
        publish("removed", m_held.back(), now);
        m_held.pop_back();
    }
    return hit;
}

void PrefixCache::clear(TimePoint now)
{
    m_held.clear();
    publish("cleared", 0, now);
}

Json PrefixCache::eventsAfter(std::uint64_t after, TimePoint now) const
{
    Json events = Json::array();
    for (const Event &event : m_events) {
        if (event.m_sequence > after && event.m_visibleFrom <= now)
            events.push_back({{"sequence", event.m_sequence},
                              {"type", event.m_type},
                              {"prefix_hash", hashText(event.m_prefixHash)}});
    }
    return events;
}

void PrefixCache::publish(const char *type, std::uint64_t prefixHash, TimePoint now)
{
    ++m_sequence;
    if (m_gap)
        return;
    m_events.push_back({m_sequence, type, prefixHash, now + m_eventLag});
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

} // namespace burdockhead
