#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/endpointslowness.h>

#include <map>
#include <string>
#include <vector>

namespace burdockhead {

// The rank reports that coordinators have sent to this gateway; a report is forgotten when it isn't
// repeated.
class RankReports
{
public:
    // Records a report. Returns whether it says something new.
    bool record(const RankReport &report, TimePoint now);

    // Returns the slow ranks of all groups.
    std::vector<EndpointSlowness> slowRanks(TimePoint now) const;

private:
    struct ReceivedReport
    {
        std::vector<EndpointSlowness> m_slowRanks;
        TimePoint m_validUntil;
    };

    std::map<std::string, ReceivedReport> m_reports; // By group.
};

} // namespace burdockhead
