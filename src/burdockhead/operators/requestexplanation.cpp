#include <burdockhead/operators/requestexplanation.h>

#include <algorithm>
#include <set>

namespace burdockhead {

namespace {

// How long before a request changes of belief may still matter to it.
constexpr std::int64_t contextMilliseconds = 3000;

struct OutcomeText
{
    const char *m_outcome;
    const char *m_text;
};

// What each outcome of a request means for its client.
constexpr OutcomeText outcomeTexts[] = {
    {"served", "the endpoint's answer was passed on"},
    {"endpoint_failed",
     "the endpoint answered with a failure, or no endpoint gave a usable answer"},
    {"refused", "it was refused without having run, with a time to come back"},
    {"cancelled", "the client left before the answer was whole"},
    {"outcome_unknown", "it may have run once and is not repeated"},
    {"deadline_exceeded", "its endpoint did not finish before the deadline"},
    {"stream_broken", "the stream broke off and could not be resumed without a gap"},
    {"unknown_path", "no route of the configuration in force matches"},
    {"invalid_credential", "no workspace of the configuration in force holds its credential"},
    {"malformed_request", "it could not be read"},
};

std::string describe(const std::string &outcome)
{
    for (const OutcomeText &item : outcomeTexts) {
        if (outcome == item.m_outcome)
            return item.m_text;
    }
    return outcome;
}

void sortByTime(std::vector<LogRecord> &records)
{
    std::stable_sort(
        records.begin(), records.end(),
        [](const LogRecord &left, const LogRecord &right) { return left.m_time < right.m_time; });
}

void append(std::string &text, const std::vector<LogRecord> &records, std::int64_t start)
{
    for (const LogRecord &record : records) {
        text += "  " + std::to_string(record.m_time - start) + " ms  " + record.m_process + "  "
                + record.m_event;
        for (const auto &[key, value] : record.m_fields) {
            if (key != "request")
                text.append("  ").append(key).append("=").append(value);
        }
        text += "\n";
    }
}

} // namespace

RequestExplanation::RequestExplanation(const std::vector<LogRecord> &records,
                                       const std::string &request)
    : m_request(request)
{
    for (const LogRecord &record : records) {
        if (record.field("request") == request)
            m_way.push_back(record);
    }
    sortByTime(m_way);
    if (m_way.empty())
        return;
    findContext(records);
    findCause();
}

void RequestExplanation::findContext(const std::vector<LogRecord> &records)
{
    std::set<std::string> processes;
    std::set<std::string> endpoints;
    for (const LogRecord &record : m_way) {
        processes.insert(record.m_process);
        if (!record.field("endpoint").empty())
            endpoints.insert(record.field("endpoint"));
    }
    const std::int64_t first = m_way.front().m_time - contextMilliseconds;
    const std::int64_t last = m_way.back().m_time;
    for (const LogRecord &record : records) {
        const bool isInTime = record.m_time >= first && record.m_time <= last;
        if (!isInTime || !processes.contains(record.m_process) || !record.field("request").empty())
            continue;
        const std::string endpoint = record.field("endpoint");
        if (endpoint.empty() || endpoints.contains(endpoint))
            m_context.push_back(record);
    }
    sortByTime(m_context);
}

void RequestExplanation::findCause()
{
    const LogRecord &last = m_way.back();
    if (last.m_event != "ended")
        return;
    m_cause = describe(last.field("outcome"));
    if (!last.field("reason").empty())
        m_cause += " (" + last.field("reason") + ")";
    if (!last.field("endpoint").empty())
        m_cause += ", last at endpoint " + last.field("endpoint");
}

std::string RequestExplanation::toText() const
{
    if (!isFound())
        return "request " + m_request + ": no line names it\n";
    const std::int64_t start = m_way.front().m_time;
    std::string text = "request " + m_request + ", first seen at " + std::to_string(start) + "\n";
    append(text, m_way, start);
    if (!m_context.empty()) {
        text += "what its processes learned meanwhile:\n";
        append(text, m_context, start);
    }
    text += hasCause() ? "cause: " + m_cause + "\n" : "cause: not told, its end is missing\n";
    return text;
}

} // namespace burdockhead
