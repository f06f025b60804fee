#include <burdockhead/entry/eventstreamparser.h>

namespace burdockhead {

namespace {

constexpr std::string_view eventDelimiter = "\n\n";
constexpr std::string_view dataField = "data:";
constexpr std::string_view doneMarker = "[DONE]";

} // namespace

std::string EventStreamParser::extractEvents(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    std::size_t start = 0;
    while (!m_isDone) {
        const std::size_t end = m_partialEvent.find(eventDelimiter, start);
        if (end == std::string::npos)
            break;
        countEvent(std::string_view(m_partialEvent).substr(start, end - start));
        start = end + eventDelimiter.size();
    }
    std::string wholeEvents = m_partialEvent.substr(0, start);
    m_partialEvent.erase(0, start);
    return wholeEvents;
}

void EventStreamParser::countEvent(std::string_view event)
{
    if (!event.starts_with(dataField))
        return;
    if (event.find(doneMarker) != std::string_view::npos && event.size() < 16)
        m_isDone = true;
    else
        ++m_tokenCount;
}

} // namespace burdockhead
