#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/observe/logrecord.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdockhead {

// How a request ended at a gateway. A late one is counted under what took the longest.
enum class RequestOutcome {
    InTime,
    LateEarlierAttempts,
    LateQueued,
    LateFirstEvent,
    LatePause,
    Refused,
    Failed,
    Cancelled,
    Rejected, // For a fault of the client's, such as a credential that isn't valid.
};

constexpr std::size_t requestOutcomeCount = 9;

// Objectives that a served request is held against.
struct OutcomeObjectives
{
    Milliseconds m_firstEvent{400}; // From the client's first attempt, or of a whole plain answer.
    Milliseconds m_pause{120};      // Between two events of a stream.

    friend bool operator==(const OutcomeObjectives &, const OutcomeObjectives &) = default;
};

// Counts, by second of arrival, how the requests in the logs of gateways ended, and what made them
// late. Answers what went wrong in a time of trouble, as RequestExplanation does for one request.
class OutcomeSummary
{
public:
    OutcomeSummary(const std::vector<LogRecord> &records, const OutcomeObjectives &objectives);

    // Returns a table with one line per second, and the sums.
    std::string toText() const;

    // Returns a bar chart of the same counts as an SVG document.
    std::string toSvg() const;

private:
    using Counts = std::array<std::size_t, requestOutcomeCount>;

    struct Second
    {
        Counts m_counts{};
        Milliseconds m_queueingTime{0}; // Sum over all requests.
        std::size_t m_mapChanges = 0;
    };

    void addRequest(const LogRecord &ended, const OutcomeObjectives &objectives);

    std::map<std::int64_t, Second> m_seconds; // By whole seconds since 1970.
};

} // namespace burdockhead
