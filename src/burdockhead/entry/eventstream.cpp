#include <burdockhead/entry/eventstream.h>

namespace burdockhead {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view dataField = "data:";
constexpr std::string_view closingData = "[DONE]";

} // namespace

std::string EventStream::take(std::string_view bytes)
{
    m_partial.append(bytes);
    std::size_t start = 0;
    while (!m_done) {
        const std::size_t end = m_partial.find(eventEnd, start);
        if (end == std::string::npos)
            break;
        count(std::string_view(m_partial).substr(start, end - start));
        start = end + eventEnd.size();
    }
    std::string whole = m_partial.substr(0, start);
    m_partial.erase(0, start);
    return whole;
}

void EventStream::count(std::string_view event)
{
    if (!event.starts_with(dataField))
        return;
    if (event.find(closingData) != std::string_view::npos && event.size() < 16)
        m_done = true;
    else
        ++m_tokens;
}

} // namespace burdockhead
