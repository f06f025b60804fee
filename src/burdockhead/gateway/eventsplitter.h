#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhead {

// Cuts the body of an event stream into whole events and follows their ids, so that a stream
// that goes on at another endpoint neither lacks nor repeats one.
class EventSplitter
{
public:
    // Starts after that event, or at the stream's first one.
    explicit EventSplitter(std::optional<std::uint64_t> lastEvent)
        : m_lastEventId(lastEvent)
    {}

    // Begins the body of a further answer.
    void beginResponse();

    // Takes bytes of the body. The whole events in it that the client hasn't had, as bytes.
    std::string append(std::string_view bytes);

    // An event's id was not the next one, so that the client would lack some.
    bool hasGap() const { return m_hasGap; }

    // Bytes of an event that isn't whole.
    bool hasPartialEvent() const { return !m_partial.empty(); }

    // The id of the last event that was given out or the stream started after.
    std::optional<std::uint64_t> lastEventId() const { return m_lastEventId; }

private:
    void appendEvent(std::string_view event, std::string &whole);

    std::optional<std::uint64_t> m_lastEventId;
    std::string m_partial;
    bool m_hasGap = false;
};

} // namespace burdockhead
