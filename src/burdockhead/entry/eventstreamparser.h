#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhead {

// Splits a server-sent event stream into complete events and counts those with tokens. Only
// complete events are forwarded, so an interrupted response resumes after the last of them.
class EventStreamParser
{
public:
    // Buffers the bytes and returns the events that are now complete, in order.
    std::string extractEvents(std::string_view bytes);

    // Discards the incomplete event at the end, before the response is resumed.
    void discardPartialEvent() { m_partialEvent.clear(); }

    // Returns the number of complete events with a token.
    std::uint64_t tokenCount() const { return m_tokenCount; }

    // Returns true once the closing [DONE] event has been received.
    bool isDone() const { return m_isDone; }

private:
    // Counts a complete event, or detects the closing one.
    void countEvent(std::string_view event);

    std::string m_partialEvent;
    std::uint64_t m_tokenCount = 0;
    bool m_isDone = false;
};

} // namespace burdockhead
