#include <burdockhead/membership/membershipnode.h>
#include <burdockhead/membership/rendezvous.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::size_t minWatchers = 2; // In each data centre.
constexpr std::size_t entriesPerWatcher = 6;
constexpr std::size_t monitorsPerAgent = 2;
constexpr std::size_t nonMemberContactRounds = 8; // Between contacts with seeds or dead entries.
constexpr std::size_t localExchangeRounds = 2;    // Between a non-watcher's local exchanges.
constexpr std::size_t remoteExchangeRounds = 3;   // Between its exchanges with other data centres.
constexpr Seconds agentCheckPeriod(1);

} // namespace

MembershipNode::MembershipNode(MembershipNodeOptions options)
    : m_options(std::move(options))
    , m_table(m_options.m_self, m_options.m_tableTimeouts)
    , m_store(m_options.m_parser)
    , m_freshness(m_options.m_times.m_freshnessWindow)
{}

bool MembershipNode::isEntryInLocalDataCentre(const MemberRecord &record) const
{
    return record.m_role == VmRole::Entry && record.m_dataCentre == m_options.m_self.m_dataCentre;
}

// Rebuilds the data derived from the entries if they have changed.
void MembershipNode::rebuildEntryCache()
{
    if (m_entriesGeneration == m_table.entriesGeneration())
        return;
    m_entriesGeneration = m_table.entriesGeneration();
    m_entries.clear();
    m_isMonitorOf.clear();
    std::vector<ProcessName> candidates;
    for (const MemberRecord *record : m_table.members(VmRole::Entry)) {
        m_entries[record->m_dataCentre].push_back(*record);
        if (isEntryInLocalDataCentre(*record) && record->m_health == MemberHealth::Alive)
            candidates.push_back(record->m_name);
    }
    m_watchers = chooseByRendezvous("watch/" + m_options.m_self.m_dataCentre.text(), candidates,
                                    std::max(minWatchers, candidates.size() / entriesPerWatcher));
}

const std::vector<MemberRecord> &MembershipNode::entriesIn(const DataCentreName &dataCentre)
{
    rebuildEntryCache();
    return m_entries[dataCentre];
}

bool MembershipNode::isWatcher() const
{
    return m_options.m_self.m_role == VmRole::Entry
           && std::find(m_watchers.begin(), m_watchers.end(), m_options.m_self.m_name)
                  != m_watchers.end();
}

bool MembershipNode::shouldWatchPlatform(TimePoint now) const
{
    return m_options.m_self.m_role == VmRole::Entry && (isWatcher() || !isCurrent(now));
}

bool MembershipNode::needsVmList() const
{
    return m_table.members(VmRole::Entry).size()
           <= (m_options.m_self.m_role == VmRole::Entry ? 1U : 0U);
}

bool MembershipNode::isOnlyEntryInDataCentre()
{
    return entriesIn(m_options.m_self.m_dataCentre).size() == 1;
}

// An entry reports for its data centre while it is authoritative, or while it is the only entry
// left there.
void MembershipNode::reportLocalDataCentre(TimePoint now)
{
    if (m_options.m_self.m_role != VmRole::Entry || !m_isReady)
        return;
    const bool isAuthoritative = m_isAuthoritative && m_freshness.isCurrent(now);
    if (isAuthoritative || isOnlyEntryInDataCentre())
        m_freshness.onDataCentreReport(m_options.m_self.m_dataCentre,
                                       {heldVersion(), now, !isAuthoritative});
}

// Evidence from before this process started or stopped being current may derive from its own
// earlier reports, and versions may have been accepted without it since.
bool MembershipNode::canBecomeAuthoritative(TimePoint now) const
{
    return isCurrent(now) && m_freshness.latestClaim()
           && m_freshness.latestClaim()->m_asOf >= m_evidenceValidFrom;
}

// Updates the readiness and authority flags, which depend on the evidence and the time.
void MembershipNode::updateState(TimePoint now)
{
    const bool isFresh = m_freshness.isCurrent(now);
    if (m_evidenceValidFrom == TimePoint() || (m_wasCurrent && !isFresh))
        m_evidenceValidFrom = now;
    if (!isFresh) {
        m_isAuthoritative = false;
        m_lastNotCurrentAt = now;
    }
    reportLocalDataCentre(now);
    m_wasCurrent = m_freshness.isCurrent(now);
    if (m_wasCurrent && m_store.latest())
        m_isReady = true;
    if (m_options.m_self.m_role == VmRole::Entry && isOnlyEntryInDataCentre()
        && canBecomeAuthoritative(now))
        m_isAuthoritative = true;
}

void MembershipNode::tick(TimePoint now, Random &random)
{
    updateState(now);
    m_table.tick(now);
    if (m_options.m_self.m_role == VmRole::Entry && now >= m_nextAgentCheckAt) {
        m_nextAgentCheckAt = now + agentCheckPeriod;
        suspectUnresponsiveAgents(now);
    }
    if (now < m_nextRoundAt)
        return;
    ++m_roundNumber;
    if (m_options.m_self.m_role == VmRole::Entry)
        runEntryRound(now, random);
    else
        runAgentRound(now, random);
}

void MembershipNode::contactNextEntry(const DataCentreName &dataCentre, TimePoint now)
{
    const std::vector<MemberRecord> &entries = entriesIn(dataCentre);
    for (std::size_t attempt = 0; attempt < entries.size(); ++attempt) {
        const MemberRecord &peer = entries[m_nextEntryIndex[dataCentre]++ % entries.size()];
        if (peer.m_name == m_options.m_self.m_name)
            continue;
        exchangeWith(peer, now);
        return;
    }
}

void MembershipNode::runEntryRound(TimePoint now, Random &random)
{
    m_nextRoundAt = now + m_options.m_times.m_entryRoundPeriod;
    rebuildEntryCache();
    if (!isWatcher() && !m_watchers.empty()) {
        if (const auto *watcher = m_table.find(m_watchers[m_roundNumber % m_watchers.size()]))
            exchangeWith(*watcher, now);
    }
    if (isWatcher() || m_roundNumber % localExchangeRounds == 0)
        contactNextEntry(m_options.m_self.m_dataCentre, now);
    if (isWatcher() || !isCurrent(now) || m_roundNumber % remoteExchangeRounds == 0)
        contactOtherDataCentres(now);
    if (m_roundNumber % nonMemberContactRounds == 1 || needsVmList())
        contactSeedOrDeadEntry(now, random);
}

// Contacts one data centre in a round, or half of them while there is no recent claim from the
// platform, so that all are contacted well within the freshness window.
void MembershipNode::contactOtherDataCentres(TimePoint now)
{
    rebuildEntryCache();
    std::vector<DataCentreName> otherDataCentres;
    for (const auto &[dataCentre, entries] : m_entries) {
        if (dataCentre != m_options.m_self.m_dataCentre && !entries.empty())
            otherDataCentres.push_back(dataCentre);
    }
    if (otherDataCentres.empty())
        return;
    const auto &claim = m_freshness.latestClaim();
    const bool isClaimOld = !claim || claim->m_asOf + m_options.m_times.m_maxClaimAge < now;
    const std::size_t count = isClaimOld ? (otherDataCentres.size() + 1) / 2 : 1;
    for (std::size_t index = 0; index < count; ++index)
        contactNextEntry(
            otherDataCentres[(m_roundNumber * count + index) % otherDataCentres.size()], now);
}

void MembershipNode::runAgentRound(TimePoint now, Random &random)
{
    const MembershipNodeTimes &times = m_options.m_times;
    m_nextRoundAt = now + (isCurrent(now) ? times.m_heartbeatPeriod : times.m_fastHeartbeatPeriod);
    std::vector<ProcessName> aliveEntries;
    for (const MemberRecord &entry : entriesIn(m_options.m_self.m_dataCentre)) {
        if (entry.m_health == MemberHealth::Alive)
            aliveEntries.push_back(entry.m_name);
    }
    const auto monitors =
        chooseByRendezvous(m_options.m_self.m_name.text(), aliveEntries, monitorsPerAgent);
    if (!monitors.empty())
        exchangeWith(*m_table.find(monitors[m_roundNumber % monitors.size()]), now);
    if (monitors.empty() || (!isCurrent(now) && m_roundNumber % nonMemberContactRounds == 0))
        contactSeedOrDeadEntry(now, random);
}

// Contacts one process that is not a live member: a seed, or a dead entry that may only have
// been partitioned.
void MembershipNode::contactSeedOrDeadEntry(TimePoint now, Random &random)
{
    std::vector<std::pair<ProcessName, SocketAddress>> nonMembers;
    for (const Vm &seed : m_seeds) {
        const MemberRecord *known = m_table.find(seed.m_name);
        if (seed.m_role == VmRole::Entry && seed.m_name != m_options.m_self.m_name
            && (known == nullptr || known->m_health == MemberHealth::Dead))
            nonMembers.emplace_back(seed.m_name, seed.m_control);
    }
    for (const MemberRecord *dead : m_table.deadEntries())
        nonMembers.emplace_back(dead->m_name, dead->m_controlAddress);
    if (nonMembers.empty())
        return;
    const auto &[name, address] = nonMembers[random() % nonMembers.size()];
    exchangeAt(name, address, now);
}

bool MembershipNode::isMonitorOf(const MemberRecord &agent)
{
    rebuildEntryCache();
    const auto cached = m_isMonitorOf.find(agent.m_name);
    if (cached != m_isMonitorOf.end())
        return cached->second;
    std::vector<ProcessName> candidates;
    const bool hasLocalEntries = !m_entries[agent.m_dataCentre].empty();
    for (const auto &[dataCentre, entries] : m_entries) {
        for (const MemberRecord &entry : entries) {
            if (!hasLocalEntries || dataCentre == agent.m_dataCentre)
                candidates.push_back(entry.m_name);
        }
    }
    const auto monitors = chooseByRendezvous(agent.m_name.text(), candidates, monitorsPerAgent);
    const bool isMonitor =
        std::find(monitors.begin(), monitors.end(), m_options.m_self.m_name) != monitors.end();
    m_isMonitorOf[agent.m_name] = isMonitor;
    return isMonitor;
}

// Suspects the agents that this entry monitors and whose heartbeats have timed out.
void MembershipNode::suspectUnresponsiveAgents(TimePoint now)
{
    std::map<ProcessName, TimePoint> deadlines;
    std::vector<ProcessName> unresponsive;
    for (const MemberRecord *agent : m_table.members(VmRole::Endpoint)) {
        if (!isMonitorOf(*agent))
            continue;
        const auto known = m_heartbeatDeadlines.find(agent->m_name);
        deadlines[agent->m_name] = known == m_heartbeatDeadlines.end()
                                       ? now + m_options.m_times.m_heartbeatTimeout
                                       : known->second;
        if (deadlines[agent->m_name] <= now)
            unresponsive.push_back(agent->m_name);
    }
    m_heartbeatDeadlines = std::move(deadlines);
    for (const ProcessName &name : unresponsive)
        m_table.suspect(name, now);
}

void MembershipNode::setLeaving(bool leaving)
{
    m_table.setLeaving(leaving);
    m_nextRoundAt = TimePoint();
}

ConfigurationPointer MembershipNode::configurationInForce() const
{
    return m_isReady ? m_store.latest() : nullptr;
}

TimePoint MembershipNode::currentUntil() const
{
    return m_isReady ? m_freshness.validUntil() : TimePoint();
}

bool MembershipNode::allEntriesHold(const DataCentreName &dataCentre, std::uint64_t version) const
{
    const auto entries = m_table.members(VmRole::Entry, dataCentre);
    return !entries.empty()
           && std::all_of(entries.begin(), entries.end(), [&](const MemberRecord *entry) {
                  if (entry->m_name == m_options.m_self.m_name)
                      return heldVersion() >= version;
                  const auto known = m_knownVersions.find(entry->m_name);
                  return known != m_knownVersions.end()
                         && known->second.m_incarnation == entry->m_incarnation
                         && known->second.m_version >= version;
              });
}

bool MembershipNode::quorumHoldsAmong(const std::vector<DataCentreName> &dataCentres,
                                      std::uint64_t version) const
{
    const auto holding =
        std::count_if(dataCentres.begin(), dataCentres.end(),
                      [&](const auto &dataCentre) { return allEntriesHold(dataCentre, version); });
    return static_cast<std::size_t>(holding) >= acceptanceQuorum(dataCentres.size());
}

// The quorum must also hold over the data centres before the change, because processes that
// lack the change count over those.
bool MembershipNode::quorumHolds(std::uint64_t version) const
{
    return heldVersion() >= version && quorumHoldsAmong(m_dataCentres, version)
           && (m_previousDataCentres.empty() || quorumHoldsAmong(m_previousDataCentres, version));
}

bool MembershipNode::canReachQuorum(TimePoint now) const
{
    return m_freshness.hasQuorumSince(now - m_options.m_times.m_freshnessWindow);
}

void MembershipNode::distributeVersion(std::uint64_t version, TimePoint now)
{
    for (const MemberRecord *entry : m_table.members(VmRole::Entry)) {
        const auto known = m_knownVersions.find(entry->m_name);
        const bool isHeld = known != m_knownVersions.end()
                            && known->second.m_incarnation == entry->m_incarnation
                            && known->second.m_version >= version;
        if (!isHeld)
            exchangeWith(*entry, now);
    }
}

std::vector<OutgoingMessage> MembershipNode::takeOutgoing()
{
    return std::move(m_outgoing);
}

} // namespace burdockhead
