#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhead {

// Cuts the bytes of a server-sent event stream at event ends, so that only whole events are
// forwarded, and counts them. An answer that breaks off is resumed after the last whole one.
class EventStream
{
public:
    // Takes bytes as they come; gives back the whole events among them, in order.
    std::string take(std::string_view bytes);

    // Forgets a part of an event that was begun, before the answer is resumed.
    void dropPartial() { m_partial.clear(); }

    // Events with a token so far.
    std::uint64_t tokens() const { return m_tokens; }

    // True when the closing event has been seen.
    bool done() const { return m_done; }

private:
    void count(std::string_view event);

    std::string m_partial;
    std::uint64_t m_tokens = 0;
    bool m_done = false;
};

} // namespace burdockhead
