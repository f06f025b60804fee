#pragma once

#include <cstddef>

namespace burdockhead {

// Bounds the bytes that all requests of a gateway buffer together, since many responses that never
// end would otherwise fill its memory, each within its own bound.
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {}

    // Reserves bytes; false, and nothing is reserved, if they would exceed the bound.
    bool tryReserve(std::size_t bytes)
    {
        if (bytes > m_maxBytes - m_reserved)
            return false;
        m_reserved += bytes;
        return true;
    }

    // Returns reserved bytes.
    void release(std::size_t bytes) { m_reserved -= bytes; }

    std::size_t reserved() const { return m_reserved; }

private:
    std::size_t m_maxBytes;
    std::size_t m_reserved = 0;
};

} // namespace burdockhead
