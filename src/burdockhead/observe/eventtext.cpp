#include <burdockhead/codec/boundedjson.h>
#include <burdockhead/observe/eventtext.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace burdockhead {

namespace {

using Json = nlohmann::json;

std::optional<std::string> textMember(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return std::string();
    if (!found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

std::optional<std::uint64_t> numberMember(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

bool readSubject(const Json &object, EventSubject &subject)
{
    const auto request = textMember(object, "request");
    const auto workspace = textMember(object, "workspace");
    const auto endpoint = textMember(object, "endpoint");
    if (!request || !workspace || !endpoint)
        return false;
    if (!request->empty())
        subject.m_request = RequestId::parse(*request);
    subject.m_workspace = WorkspaceName(*workspace);
    subject.m_endpoint = EndpointName(*endpoint);
    return request->empty() || subject.m_request.has_value();
}

void addNonEmptyText(Json &object, const char *name, const std::string &text)
{
    if (!text.empty())
        object[name] = text;
}

} // namespace

std::string toJsonLine(const Event &event)
{
    Json object = {{"milliseconds", event.m_time.m_milliseconds},
                   {"counter", event.m_time.m_counter},
                   {"process", event.m_process.text()},
                   {"event", toString(event.m_type)}};
    if (event.m_subject.m_request)
        object["request"] = event.m_subject.m_request->toString();
    addNonEmptyText(object, "workspace", event.m_subject.m_workspace.text());
    addNonEmptyText(object, "endpoint", event.m_subject.m_endpoint.text());
    addNonEmptyText(object, "reason", event.m_reason);
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Event> eventFromJsonLine(std::string_view line)
{
    const Json object = parseBoundedJsonOrDiscard(line);
    if (!object.is_object())
        return std::nullopt;
    const auto milliseconds = numberMember(object, "milliseconds");
    const auto counter = numberMember(object, "counter");
    const auto process = textMember(object, "process");
    const auto type = eventTypeFromString(textMember(object, "event").value_or(""));
    const auto reason = textMember(object, "reason");
    Event event;
    if (!milliseconds || !counter || !process || !type || !reason
        || !readSubject(object, event.m_subject))
        return std::nullopt;
    event.m_time = {*milliseconds, *counter};
    event.m_process = ProcessName(*process);
    event.m_type = *type;
    event.m_reason = *reason;
    return event;
}

std::string toJsonLines(const std::vector<Event> &events)
{
    std::string text;
    for (const Event &event : events)
        text += toJsonLine(event) + "\n";
    return text;
}

std::optional<std::vector<Event>> eventsFromJsonLines(std::string_view text)
{
    std::vector<Event> events;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        auto event = eventFromJsonLine(text.substr(0, end));
        if (!event)
            return std::nullopt;
        events.push_back(std::move(*event));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return events;
}

std::string toText(const Event &event)
{
    std::string text =
        event.m_time.toString() + "  " + event.m_process.text() + "  " + toString(event.m_type);
    if (event.m_subject.m_request)
        text += "  request=" + event.m_subject.m_request->toString();
    if (!event.m_subject.m_workspace.empty())
        text += "  workspace=" + event.m_subject.m_workspace.text();
    if (!event.m_subject.m_endpoint.empty())
        text += "  endpoint=" + event.m_subject.m_endpoint.text();
    if (!event.m_reason.empty())
        text += "  " + event.m_reason;
    return text;
}

std::vector<Event> mergeEvents(const std::vector<std::vector<Event>> &lists)
{
    std::vector<Event> merged;
    for (const std::vector<Event> &list : lists)
        merged.insert(merged.end(), list.begin(), list.end());
    std::stable_sort(merged.begin(), merged.end(), [](const Event &left, const Event &right) {
        return std::tie(left.m_time, left.m_process) < std::tie(right.m_time, right.m_process);
    });
    return merged;
}

} // namespace burdockhead
