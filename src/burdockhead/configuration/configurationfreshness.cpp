#include <burdockhead/configuration/configurationfreshness.h>

#include <algorithm>

namespace burdockhead {

namespace {

void keepLatest(DataCentreReport &latest, const DataCentreReport &report)
{
    if (report.m_requestedAt >= latest.m_requestedAt)
        latest = report;
}

} // namespace

ConfigurationFreshness::ConfigurationFreshness(Duration window)
    : m_window(window)
{}

void ConfigurationFreshness::setDataCentres(std::vector<DataCentreName> dataCentres)
{
    m_dataCentres = std::move(dataCentres);
}

void ConfigurationFreshness::setApplied(std::uint64_t version)
{
    m_appliedVersion = std::max(m_appliedVersion, version);
    if (m_latestClaim && m_latestClaim->m_version <= m_appliedVersion)
        m_validUntil = std::max(m_validUntil, m_latestClaim->m_asOf + m_window);
}

void ConfigurationFreshness::onPlatformVersion(std::uint64_t version, TimePoint requestedAt)
{
    onClaim({version, requestedAt});
}

void ConfigurationFreshness::onClaim(const FreshnessClaim &claim)
{
    if (!m_latestClaim || claim.m_asOf > m_latestClaim->m_asOf)
        m_latestClaim = claim;
    if (claim.m_version <= m_appliedVersion)
        m_validUntil = std::max(m_validUntil, claim.m_asOf + m_window);
}

void ConfigurationFreshness::onDataCentreReport(const DataCentreName &dataCentre,
                                                const DataCentreReport &report)
{
    if (std::find(m_dataCentres.begin(), m_dataCentres.end(), dataCentre) == m_dataCentres.end())
        return;
    keepLatest(m_reports[dataCentre], report);
    if (!report.m_isNonAuthoritative)
        keepLatest(m_authoritativeReports[dataCentre], report);
    deriveClaimFromMajority();
    deriveClaimFromAll();
}

// In at least half of the data centres every running entry holds an accepted version, and these
// overlap with any majority.
void ConfigurationFreshness::deriveClaimFromMajority()
{
    std::vector<DataCentreReport> reports;
    for (const DataCentreName &dataCentre : m_dataCentres) {
        const auto report = m_authoritativeReports.find(dataCentre);
        if (report != m_authoritativeReports.end())
            reports.push_back(report->second);
    }
    const std::size_t majority = m_dataCentres.size() / 2 + 1;
    if (reports.size() < majority)
        return;
    std::sort(reports.begin(), reports.end(), [](const auto &left, const auto &right) {
        return left.m_requestedAt > right.m_requestedAt;
    });
    FreshnessClaim claim{0, reports[majority - 1].m_requestedAt};
    for (std::size_t index = 0; index < majority; ++index)
        claim.m_version = std::max(claim.m_version, reports[index].m_version);
    onClaim(claim);
}

// A report of a non-authoritative entry doesn't count towards a majority, because the entry may
// have been paused while a version was accepted without it. Reports from all data centres do
// suffice.
void ConfigurationFreshness::deriveClaimFromAll()
{
    if (m_dataCentres.empty())
        return;
    FreshnessClaim claim{0, TimePoint::max()};
    for (const DataCentreName &dataCentre : m_dataCentres) {
        const auto report = m_reports.find(dataCentre);
        if (report == m_reports.end())
            return;
        claim.m_version = std::max(claim.m_version, report->second.m_version);
        claim.m_asOf = std::min(claim.m_asOf, report->second.m_requestedAt);
    }
    onClaim(claim);
}

bool ConfigurationFreshness::hasQuorumSince(TimePoint since) const
{
    const auto recentCount =
        std::count_if(m_dataCentres.begin(), m_dataCentres.end(), [&](const auto &dataCentre) {
            const auto report = m_reports.find(dataCentre);
            return report != m_reports.end() && report->second.m_requestedAt >= since;
        });
    return static_cast<std::size_t>(recentCount) >= acceptanceQuorum(m_dataCentres.size());
}

std::size_t acceptanceQuorum(std::size_t dataCentres)
{
    return std::max<std::size_t>(1, (dataCentres + 1) / 2);
}

} // namespace burdockhead
