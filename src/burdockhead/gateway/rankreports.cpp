#include <burdockhead/gateway/rankreports.h>

namespace burdockhead {

namespace {

// Three times the interval at which coordinators repeat a report.
constexpr Milliseconds reportValidFor{3000};

} // namespace

bool RankReports::record(const RankReport &report, TimePoint now)
{
    std::erase_if(m_reports, [&](const auto &item) { return now >= item.second.m_validUntil; });
    const auto current = m_reports.find(report.m_group);
    const bool isNew = current == m_reports.end()
                           ? !report.m_slowRanks.empty()
                           : current->second.m_slowRanks != report.m_slowRanks;
    if (report.m_slowRanks.empty())
        m_reports.erase(report.m_group);
    else
        m_reports[report.m_group] = {report.m_slowRanks, now + reportValidFor};
    return isNew;
}

std::vector<EndpointSlowness> RankReports::slowRanks(TimePoint now) const
{
    std::vector<EndpointSlowness> slowRanks;
    for (const auto &[group, report] : m_reports) {
        if (now < report.m_validUntil)
            slowRanks.insert(slowRanks.end(), report.m_slowRanks.begin(), report.m_slowRanks.end());
    }
    return slowRanks;
}

} // namespace burdockhead
