#pragma once

#include <burdockhead/observe/logrecord.h>

#include <string>
#include <vector>

namespace burdockhead {

// The way of one request through the system, from the logs of all processes: its own lines in
// order, what the processes on its way came to believe from shortly before it on, and why it
// ended as it did.
class RequestExplanation
{
public:
    RequestExplanation(const std::vector<LogRecord> &records, const std::string &request);

    // Whether any line names the request.
    bool isFound() const { return !m_way.empty(); }

    // Whether the lines tell why it ended as it did.
    bool hasCause() const { return !m_cause.empty(); }

    std::string toText() const;

private:
    void findContext(const std::vector<LogRecord> &records);
    void findCause();

    std::string m_request;
    std::vector<LogRecord> m_way;
    std::vector<LogRecord> m_context;
    std::string m_cause;
};

} // namespace burdockhead
