#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/configuration/datacentrereport.h>
#include <burdockhead/configuration/freshnessclaim.h>

#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// Decides whether the local configuration is fresh enough to accept new work: only while no
// version can have been accepted longer ago than the window without being applied here. The
// evidence is a reply of the platform, claims forwarded by peers, or reports from a majority of
// data centres. All time points are those at which the request was sent, so that a late reply or a
// paused process makes the evidence older and never newer. Not thread-safe.
class ConfigurationFreshness
{
public:
    // A claim keeps the configuration current for this long after the claim's time point.
    explicit ConfigurationFreshness(Duration window);

    // Replaces the data centres over which majorities are counted.
    void setDataCentres(std::vector<DataCentreName> dataCentres);

    // Sets the version that is applied in this process.
    void setApplied(std::uint64_t version);

    // Records that the platform reported this as the newest version.
    void onPlatformVersion(std::uint64_t version, TimePoint requestedAt);

    // Records a claim forwarded by a peer.
    void onClaim(const FreshnessClaim &claim);

    // Records the version that an entry of a data centre reported; the entry may be this process.
    void onDataCentreReport(const DataCentreName &dataCentre, const DataCentreReport &report);

    // Returns true while new work may be accepted.
    bool isCurrent(TimePoint now) const { return now < m_validUntil; }

    // Returns when the evidence so far expires.
    TimePoint validUntil() const { return m_validUntil; }

    // Returns the latest known claim, to be forwarded; its version may not be applied here yet.
    const std::optional<FreshnessClaim> &latestClaim() const { return m_latestClaim; }

    // Returns true if enough data centres for an acceptance quorum have replied to requests sent
    // since that time point.
    bool hasQuorumSince(TimePoint since) const;

private:
    void deriveClaimFromMajority();
    void deriveClaimFromAll();

    Duration m_window;
    std::vector<DataCentreName> m_dataCentres;
    // The latest report of each data centre, and the latest of an authoritative entry in it.
    std::map<DataCentreName, DataCentreReport> m_reports;
    std::map<DataCentreName, DataCentreReport> m_authoritativeReports;
    std::uint64_t m_appliedVersion = 0;
    std::optional<FreshnessClaim> m_latestClaim;
    TimePoint m_validUntil;
};

// Returns how many data centres must hold a version before it is accepted: half, rounded up, so
// that they overlap with every majority.
std::size_t acceptanceQuorum(std::size_t dataCentres);

} // namespace burdockhead
