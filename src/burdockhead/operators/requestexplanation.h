#pragma once

#include <burdockhead/observe/logrecord.h>

#include <string>
#include <vector>

namespace burdockhead {

// Trace of one request, built from the logs of all processes: its own records in order, the
// other records of the processes and endpoints involved from shortly before it until its end,
// and the cause of its outcome.
class RequestExplanation
{
public:
    RequestExplanation(const std::vector<LogRecord> &records, const std::string &request);

    // Whether any record belongs to the request.
    bool isFound() const { return !m_requestRecords.empty(); }

    // Whether the records include the outcome of the request.
    bool hasCause() const { return !m_cause.empty(); }

    // Formats the trace with times in milliseconds relative to the first record of the request.
    std::string toText() const;

private:
    // Collects the records of other events that may have affected the request.
    void findContext(const std::vector<LogRecord> &records);
    // Collects the crashes and decisions that put a part of its prompt in quarantine.
    void findQuarantine(const std::vector<LogRecord> &records);
    // Derives the cause from the last record of the request.
    void findCause();

    std::string m_request;
    std::vector<LogRecord> m_requestRecords;
    std::vector<LogRecord> m_contextRecords;
    std::vector<LogRecord> m_quarantineRecords;
    std::string m_cause;
};

} // namespace burdockhead
