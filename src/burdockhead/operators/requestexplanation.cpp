#include <burdockhead/operators/requestexplanation.h>

#include <algorithm>
#include <set>

namespace burdockhead {

namespace {

// State changes up to this long before a request may still affect it.
constexpr std::int64_t contextMilliseconds = 3000;

struct OutcomeDescription
{
    const char *m_outcome;
    const char *m_description;
};

// Describes each outcome of a request to an operator.
constexpr OutcomeDescription outcomeDescriptions[] = {
    {"served", "the endpoint's response was forwarded"},
    {"endpoint_failed",
     "the endpoint answered with a failure, or no endpoint gave a usable answer"},
    {"refused", "it was refused without having run, with a retry delay"},
    {"prompt_quarantined",
     "it was refused without having run, since endpoints crashed on a part of its prompt"},
    {"cancelled", "the client disconnected before the response was complete"},
    {"outcome_unknown", "it may have run once and is not retried"},
    {"deadline_exceeded", "its endpoint did not finish before the deadline"},
    {"stream_broken", "the stream was interrupted and could not be resumed without a gap"},
    {"unknown_path", "no route of the configuration in force matches"},
    {"invalid_credential", "no workspace of the configuration in force holds its credential"},
    {"malformed_request", "it could not be parsed"},
};

std::string describeOutcome(const std::string &outcome)
{
    for (const OutcomeDescription &description : outcomeDescriptions) {
        if (outcome == description.m_outcome)
            return description.m_description;
    }
    return outcome;
}

void sortByTime(std::vector<LogRecord> &records)
{
    std::stable_sort(
        records.begin(), records.end(),
        [](const LogRecord &left, const LogRecord &right) { return left.m_time < right.m_time; });
}

// Returns whether a list separated by commas has the item.
bool listContains(const std::string &list, const std::string &item)
{
    return ("," + list + ",").find("," + item + ",") != std::string::npos;
}

void appendRecords(std::string &text, const std::vector<LogRecord> &records, std::int64_t start)
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
            m_requestRecords.push_back(record);
    }
    sortByTime(m_requestRecords);
    if (m_requestRecords.empty())
        return;
    findContext(records);
    findQuarantine(records);
    findCause();
}

void RequestExplanation::findContext(const std::vector<LogRecord> &records)
{
    std::set<std::string> processes;
    std::set<std::string> endpoints;
    for (const LogRecord &record : m_requestRecords) {
        processes.insert(record.m_process);
        if (!record.field("endpoint").empty())
            endpoints.insert(record.field("endpoint"));
    }
    const std::int64_t startTime = m_requestRecords.front().m_time - contextMilliseconds;
    const std::int64_t endTime = m_requestRecords.back().m_time;
    for (const LogRecord &record : records) {
        const bool isInTimeRange = record.m_time >= startTime && record.m_time <= endTime;
        if (!isInTimeRange || !processes.contains(record.m_process)
            || !record.field("request").empty())
            continue;
        const std::string endpoint = record.field("endpoint");
        if (endpoint.empty() || endpoints.contains(endpoint))
            m_contextRecords.push_back(record);
    }
    sortByTime(m_contextRecords);
}

// Adds what put a part of the request's prompt in quarantine: the crashes of which it was a suspect
// and the decisions on it, however long ago and in whichever process.
void RequestExplanation::findQuarantine(const std::vector<LogRecord> &records)
{
    std::string part;
    for (const LogRecord &record : m_requestRecords) {
        if (record.m_event == "quarantine_refused")
            part = record.field("part");
    }
    if (part.empty())
        return;
    for (const LogRecord &record : records) {
        const bool isDecision =
            (record.m_event == "part_quarantined" || record.m_event == "part_released")
            && record.field("part") == part;
        const bool isCrash =
            record.m_event == "endpoint_crashed" && listContains(record.field("suspects"), part);
        if (isDecision || isCrash)
            m_quarantineRecords.push_back(record);
    }
    sortByTime(m_quarantineRecords);
}

void RequestExplanation::findCause()
{
    const LogRecord &lastRecord = m_requestRecords.back();
    if (lastRecord.m_event != "ended")
        return;
    m_cause = describeOutcome(lastRecord.field("outcome"));
    if (!lastRecord.field("reason").empty())
        m_cause += " (" + lastRecord.field("reason") + ")";
    if (!lastRecord.field("endpoint").empty())
        m_cause += ", last at endpoint " + lastRecord.field("endpoint");
}

std::string RequestExplanation::toText() const
{
    if (!isFound())
        return "request " + m_request + ": no line names it\n";
    const std::int64_t start = m_requestRecords.front().m_time;
    std::string text = "request " + m_request + ", first seen at " + std::to_string(start) + "\n";
    appendRecords(text, m_requestRecords, start);
    if (!m_contextRecords.empty()) {
        text += "other events of its processes:\n";
        appendRecords(text, m_contextRecords, start);
    }
    if (!m_quarantineRecords.empty()) {
        text += "how its prompt came into quarantine:\n";
        appendRecords(text, m_quarantineRecords, start);
    }
    text += hasCause() ? "cause: " + m_cause + "\n"
                       : "cause: unknown, the end of the request is not in the logs\n";
    return text;
}

} // namespace burdockhead
