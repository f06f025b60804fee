#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// Splits the body of an event stream into complete events and tracks their ids, so that a stream
// resumed at another endpoint neither skips nor repeats an event.
class EventSplitter
{
public:
    // Starts after that event, or at the first event of the stream.
    explicit EventSplitter(std::optional<std::uint64_t> lastEvent)
        : m_lastEventId(lastEvent)
    {}

    // Starts the body of the next response, and discards a partial event.
    void beginResponse();

    // Appends bytes of the body and returns the complete events that haven't been returned before.
    std::string append(std::string_view bytes);

    // Returns whether event ids skipped a number, so that the client would miss events.
    bool hasGap() const { return m_hasGap; }

    // Returns whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !m_partial.empty(); }

    // Returns the bytes of that event so far.
    std::size_t partialBytes() const { return m_partial.size(); }

    // Returns whether an event is longer than any that is waited for. Its bytes are dropped.
    bool isEventTooLong() const { return m_isEventTooLong; }

    // Returns the id of the last returned event, or the one that the stream started after.
    std::optional<std::uint64_t> lastEventId() const { return m_lastEventId; }

private:
    void appendEvent(std::string_view event, std::string &events);

    std::optional<std::uint64_t> m_lastEventId;
    std::string m_partial;
    bool m_hasGap = false;
    bool m_isEventTooLong = false;
};

} // namespace burdockhead
