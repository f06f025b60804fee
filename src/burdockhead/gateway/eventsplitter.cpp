#include <burdockhead/gateway/eventsplitter.h>

#include <charconv>

namespace burdockhead {

namespace {

// An event holds a few tokens. Bytes without an event boundary would otherwise fill the memory.
constexpr std::size_t maxEventBytes = 262144;

// Returns the length of the first complete event with its blank line; npos without one.
std::size_t firstEventLength(std::string_view text)
{
    const auto lf = text.find("\n\n");
    const auto crlf = text.find("\r\n\r\n");
    if (crlf != std::string_view::npos && (lf == std::string_view::npos || crlf < lf))
        return crlf + 4;
    return lf == std::string_view::npos ? lf : lf + 2;
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
                return id;
            return std::nullopt;
        }
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return std::nullopt;
}

} // namespace

void EventSplitter::beginResponse()
{
    m_partial.clear();
    m_isEventTooLong = false;
}

std::string EventSplitter::append(std::string_view bytes)
{
    std::string events;
    std::string joined;
    if (!m_partial.empty()) {
        joined = std::move(m_partial);
        joined.append(bytes);
        bytes = joined;
        m_partial.clear();
    }
    for (auto length = firstEventLength(bytes); length != std::string_view::npos;
         length = firstEventLength(bytes)) {
        appendEvent(bytes.substr(0, length), events);
        bytes.remove_prefix(length);
    }
    m_isEventTooLong = bytes.size() > maxEventBytes;
    m_partial = m_isEventTooLong ? std::string_view() : bytes;
    return events;
}

void EventSplitter::appendEvent(std::string_view event, std::string &events)
{
    const auto id = eventId(event);
    if (m_hasGap)
        return;
    if (id && m_lastEventId) {
        if (*id <= *m_lastEventId)
            return;
        if (*id > *m_lastEventId + 1) {
            m_hasGap = true;
            return;
        }
    }
    if (id)
        m_lastEventId = id;
    events.append(event);
}

} // namespace burdockhead
