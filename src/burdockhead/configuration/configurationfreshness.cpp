#include <burdockhead/configuration/configurationfreshness.h>

#include <algorithm>

namespace burdockhead {

namespace {

void keepLatest(DataCentreReport &kept, const DataCentreReport &word)
{
    if (word.m_requestedAt >= kept.m_requestedAt)
        kept = word;
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
    m_applied = std::max(m_applied, version);
    if (m_latest && m_latest->m_version <= m_applied)
        m_validUntil = std::max(m_validUntil, m_latest->m_asOf + m_window);
}

void ConfigurationFreshness::onPlatformVersion(std::uint64_t version, TimePoint askedAt)
{
    onClaim({version, askedAt});
}

void ConfigurationFreshness::onClaim(const FreshnessClaim &claim)
{
    if (!m_latest || claim.m_asOf > m_latest->m_asOf)
        m_latest = claim;
    if (claim.m_version <= m_applied)
        m_validUntil = std::max(m_validUntil, claim.m_asOf + m_window);
}

void ConfigurationFreshness::onDataCentreReport(const DataCentreName &dataCentre,
                                                const DataCentreReport &word)
{
    if (std::find(m_dataCentres.begin(), m_dataCentres.end(), dataCentre) == m_dataCentres.end())
        return;
    keepLatest(m_words[dataCentre], word);
    if (!word.m_isNonAuthoritative)
        keepLatest(m_vouchedFor[dataCentre], word);
    claimFromMajority();
    claimFromAll();
}

// An accepted version is held by every entry that is up in at least half of the data
// centres, which meets any majority.
void ConfigurationFreshness::claimFromMajority()
{
    std::vector<DataCentreReport> words;
    for (const DataCentreName &dataCentre : m_dataCentres) {
        const auto word = m_vouchedFor.find(dataCentre);
        if (word != m_vouchedFor.end())
            words.push_back(word->second);
    }
    const std::size_t majority = m_dataCentres.size() / 2 + 1;
    if (words.size() < majority)
        return;
    std::sort(words.begin(), words.end(), [](const auto &left, const auto &right) {
        return left.m_requestedAt > right.m_requestedAt;
    });
    FreshnessClaim claim{0, words[majority - 1].m_requestedAt};
    for (std::size_t index = 0; index < majority; ++index)
        claim.m_version = std::max(claim.m_version, words[index].m_version);
    onClaim(claim);
}

// Entries that lapsed can't vouch for their data centre, since they may have been paused
// while a version was accepted without them; all data centres together can.
void ConfigurationFreshness::claimFromAll()
{
    if (m_dataCentres.empty())
        return;
    FreshnessClaim claim{0, TimePoint::max()};
    for (const DataCentreName &dataCentre : m_dataCentres) {
        const auto word = m_words.find(dataCentre);
        if (word == m_words.end())
            return;
        claim.m_version = std::max(claim.m_version, word->second.m_version);
        claim.m_asOf = std::min(claim.m_asOf, word->second.m_requestedAt);
    }
    onClaim(claim);
}

bool ConfigurationFreshness::hasQuorumSince(TimePoint since) const
{
    const auto fresh =
        std::count_if(m_dataCentres.begin(), m_dataCentres.end(), [&](const auto &dataCentre) {
            const auto word = m_words.find(dataCentre);
            return word != m_words.end() && word->second.m_requestedAt >= since;
        });
    return static_cast<std::size_t>(fresh) >= acceptanceQuorum(m_dataCentres.size());
}

std::size_t acceptanceQuorum(std::size_t dataCentres)
{
    return std::max<std::size_t>(1, (dataCentres + 1) / 2);
}

} // namespace burdockhead
