#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Estimates since when the changes in a response of the store may have been in force. A follower
// pauses between watches, and a pause delays changes by up to a second; time limits that count from
// a change have to include it. Answers the load of many endpoints that register or leave one after
// the other, during which pauses are longest.
class ChangeTimeEstimator
{
public:
    void recordRequest(TimePoint now) { m_sentAt = now; }

    // Records a failed call. Entries that expired while the store was unavailable are registered
    // again soon after it has returned, so their removal counts from then.
    void recordFailure() { m_hasFailed = true; }

    // Records a response and returns the earliest time at which its changes may have been made.
    TimePoint recordResponse(TimePoint now);

private:
    TimePoint m_sentAt;
    TimePoint m_lastResponseAt; // Zero before the first.
    bool m_hasFailed = false;   // Since the last response.
};

} // namespace burdockhead
