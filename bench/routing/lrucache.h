#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace burdockhead {

// LRU cache of the prefixes in an engine's memory.
class LruCache
{
public:
    explicit LruCache(std::size_t capacity)
        : m_capacity(capacity)
    {}

    // Returns whether the prefix is stored and, if so, marks it as most recently used.
    bool touch(std::uint64_t prefix)
    {
        const auto found = m_places.find(prefix);
        if (found == m_places.end())
            return false;
        m_order.splice(m_order.begin(), m_order, found->second);
        return true;
    }

    // Stores a prefix that isn't stored yet; returns the evicted one, if any.
    std::optional<std::uint64_t> store(std::uint64_t prefix)
    {
        m_order.push_front(prefix);
        m_places[prefix] = m_order.begin();
        if (m_order.size() <= m_capacity)
            return std::nullopt;
        const std::uint64_t evicted = m_order.back();
        m_order.pop_back();
        m_places.erase(evicted);
        return evicted;
    }

    // Removes all prefixes.
    void clear()
    {
        m_order.clear();
        m_places.clear();
    }

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

} // namespace burdockhead
