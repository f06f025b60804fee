#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/configuration/datacentrereport.h>
#include <burdockhead/configuration/freshnessclaim.h>

#include <map>
#include <optional>
#include <vector>

namespace burdockhead {

// Decides whether a process may take new work: only while it is certain that no version was
// accepted longer ago than the window without being in force here. The evidence is word from
// the platform, claims passed on by peers, or word from a majority of data centres.
// All time points are those at which the question was sent, so that a late answer or a paused
// process makes the evidence older and never newer. Not thread safe.
class ConfigurationFreshness
{
public:
    // A claim keeps the process current for this long after its time point.
    explicit ConfigurationFreshness(Duration window);

    // Replaces the data centres that a majority is counted over.
    void setDataCentres(std::vector<DataCentreName> dataCentres);

    // Tells which version is in force here.
    void setApplied(std::uint64_t version);

    // The platform answered that this is the newest version.
    void onPlatformVersion(std::uint64_t version, TimePoint askedAt);

    // A peer passed on a claim.
    void onClaim(const FreshnessClaim &claim);

    // An entry of a data centre, perhaps this process, told its version.
    void onDataCentreReport(const DataCentreName &dataCentre, const DataCentreReport &word);

    // True while new work may be taken.
    bool isCurrent(TimePoint now) const { return now < m_validUntil; }

    // Until when the evidence so far lasts.
    TimePoint validUntil() const { return m_validUntil; }

    // The latest claim known, for passing on; its version may not be in force here yet.
    const std::optional<FreshnessClaim> &latestClaim() const { return m_latest; }

    // True when so many data centres have given word since that time point that a change can
    // be accepted with them.
    bool hasQuorumSince(TimePoint since) const;

private:
    void claimFromMajority();
    void claimFromAll();

    Duration m_window;
    std::vector<DataCentreName> m_dataCentres;
    std::map<DataCentreName, DataCentreReport> m_words;      // The latest of each.
    std::map<DataCentreName, DataCentreReport> m_vouchedFor; // The latest that had not lapsed.
    std::uint64_t m_applied = 0;
    std::optional<FreshnessClaim> m_latest;
    TimePoint m_validUntil;
};

// How many of so many data centres must hold a version before it is accepted: half, rounded
// up, so that they meet every majority.
std::size_t acceptanceQuorum(std::size_t dataCentres);

} // namespace burdockhead
