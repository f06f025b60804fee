#include <burdockhead/observe/eventfilter.h>
#include <burdockhead/observe/wallclock.h>

namespace burdockhead {

namespace {

using QueryParameterReader = bool (*)(const std::string &text, EventFilter &filter);

// A query parameter and its parser, which returns false on an invalid value.
struct QueryParameter
{
    const char *m_name;
    QueryParameterReader m_read;
};

bool readTime(const std::string &text, std::uint64_t &milliseconds)
{
    const auto time = parseWallTime(text);
    milliseconds = time.value_or(0);
    return time.has_value();
}

constexpr QueryParameter parameters[] = {
    {"request",
     [](const std::string &text, EventFilter &filter) {
         filter.m_request = RequestId::parse(text);
         return filter.m_request.has_value();
     }},
    {"workspace",
     [](const std::string &text, EventFilter &filter) {
         filter.m_workspace = WorkspaceName(text);
         return !text.empty();
     }},
    {"endpoint",
     [](const std::string &text, EventFilter &filter) {
         filter.m_endpoint = EndpointName(text);
         return !text.empty();
     }},
    {"event",
     [](const std::string &text, EventFilter &filter) {
         filter.m_type = eventTypeFromString(text);
         return filter.m_type.has_value();
     }},
    {"since", [](const std::string &text,
                 EventFilter &filter) { return readTime(text, filter.m_sinceMilliseconds); }},
    {"until", [](const std::string &text,
                 EventFilter &filter) { return readTime(text, filter.m_untilMilliseconds); }},
};

void addParameter(std::string &query, const char *name, const std::string &value)
{
    query += (query.empty() ? "" : "&") + std::string(name) + "=" + value;
}

} // namespace

bool EventFilter::matches(const Event &event) const
{
    const EventSubject &subject = event.m_subject;
    return (!m_request || subject.m_request == m_request)
           && (m_workspace.empty() || subject.m_workspace == m_workspace)
           && (m_endpoint.empty() || subject.m_endpoint == m_endpoint)
           && (!m_type || event.m_type == *m_type)
           && event.m_time.m_milliseconds >= m_sinceMilliseconds
           && event.m_time.m_milliseconds <= m_untilMilliseconds;
}

std::string EventFilter::toQuery() const
{
    std::string query;
    if (m_request)
        addParameter(query, "request", m_request->toString());
    if (!m_workspace.empty())
        addParameter(query, "workspace", m_workspace.text());
    if (!m_endpoint.empty())
        addParameter(query, "endpoint", m_endpoint.text());
    if (m_type)
        addParameter(query, "event", burdockhead::toString(*m_type));
    if (m_sinceMilliseconds != EventFilter().m_sinceMilliseconds)
        addParameter(query, "since", std::to_string(m_sinceMilliseconds));
    if (m_untilMilliseconds != EventFilter().m_untilMilliseconds)
        addParameter(query, "until", std::to_string(m_untilMilliseconds));
    return query;
}

std::optional<EventFilter> EventFilter::fromRequest(const HttpRequest &request, Failure &failure)
{
    EventFilter filter;
    for (const QueryParameter &parameter : parameters) {
        const auto text = request.queryValue(parameter.m_name);
        if (text && !parameter.m_read(*text, filter)) {
            failure = {ErrorKind::MalformedRequest,
                       std::string("bad value of parameter ") + parameter.m_name};
            return std::nullopt;
        }
    }
    return filter;
}

} // namespace burdockhead
