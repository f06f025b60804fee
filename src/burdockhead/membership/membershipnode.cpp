#include <burdockhead/membership/membershipnode.h>
#include <burdockhead/membership/rendezvous.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::size_t fewestWatchers = 2; // In a data centre.
constexpr std::size_t entriesPerWatcher = 6;
constexpr std::size_t homesPerAgent = 2;
constexpr std::size_t strangerRounds = 8; // Strangers are tried every so many rounds.
constexpr std::size_t ownRounds = 2;      // Non-watchers ask beside their watchers.
constexpr std::size_t otherRounds = 3;    // Non-watchers ask other data centres.
constexpr Seconds agentCheckPeriod(1);

} // namespace

MembershipNode::MembershipNode(NodeOptions options)
    : m_options(std::move(options))
    , m_table(m_options.m_self, m_options.m_membershipTimes)
    , m_store(m_options.m_parser)
    , m_currency(m_options.m_times.m_currencyWindow)
{}

bool MembershipNode::isOwnEntry(const MemberRecord &record) const
{
    return record.m_role == VmRole::Entry && record.m_dataCentre == m_options.m_self.m_dataCentre;
}

// Rebuilds what is derived from the entries when they have changed.
void MembershipNode::refreshEntries()
{
    if (m_entriesGeneration == m_table.entriesGeneration())
        return;
    m_entriesGeneration = m_table.entriesGeneration();
    m_entries.clear();
    m_homeOf.clear();
    std::vector<ProcessName> candidates;
    for (const MemberRecord *record : m_table.members(VmRole::Entry)) {
        m_entries[record->m_dataCentre].push_back(*record);
        if (isOwnEntry(*record) && record->m_health == MemberHealth::Alive)
            candidates.push_back(record->m_name);
    }
    m_watchers =
        chooseByRendezvous("watch/" + m_options.m_self.m_dataCentre.text(), candidates,
                           std::max(fewestWatchers, candidates.size() / entriesPerWatcher));
}

const std::vector<MemberRecord> &MembershipNode::entriesIn(const DataCentreName &dataCentre)
{
    refreshEntries();
    return m_entries[dataCentre];
}

bool MembershipNode::isWatcher() const
{
    return m_options.m_self.m_role == VmRole::Entry
           && std::find(m_watchers.begin(), m_watchers.end(), m_options.m_self.m_name)
                  != m_watchers.end();
}

bool MembershipNode::watchesPlatform(TimePoint now) const
{
    return m_options.m_self.m_role == VmRole::Entry && (isWatcher() || !isCurrent(now));
}

bool MembershipNode::needsVms() const
{
    return m_table.members(VmRole::Entry).size()
           <= (m_options.m_self.m_role == VmRole::Entry ? 1U : 0U);
}

bool MembershipNode::isAloneInDataCentre()
{
    return entriesIn(m_options.m_self.m_dataCentre).size() == 1;
}

// An entry counts for its own data centre while it vouches for it, or when no other entry is
// left to ask.
void MembershipNode::hearOwnDataCentre(TimePoint now)
{
    if (m_options.m_self.m_role != VmRole::Entry || !m_ready)
        return;
    const bool vouches = m_vouches && m_currency.isCurrent(now);
    if (vouches || isAloneInDataCentre())
        m_currency.hearDataCentre(m_options.m_self.m_dataCentre, {heldVersion(), now, !vouches});
}

// Evidence from before this process started or lapsed may rest on its own earlier word, and
// versions may have been accepted without it since.
bool MembershipNode::mayVouch(TimePoint now) const
{
    return isCurrent(now) && m_currency.latestClaim()
           && m_currency.latestClaim()->m_asOf >= m_evidenceFloor;
}

// Brings what follows from the evidence and the time up to date.
void MembershipNode::refresh(TimePoint now)
{
    const bool current = m_currency.isCurrent(now);
    if (m_evidenceFloor == TimePoint() || (m_wasCurrent && !current))
        m_evidenceFloor = now;
    if (!current) {
        m_vouches = false;
        m_lapsedAt = now;
    }
    hearOwnDataCentre(now);
    m_wasCurrent = m_currency.isCurrent(now);
    if (m_wasCurrent && m_store.held())
        m_ready = true;
    if (m_options.m_self.m_role == VmRole::Entry && isAloneInDataCentre() && mayVouch(now))
        m_vouches = true;
}

void MembershipNode::tick(TimePoint now, Random &random)
{
    refresh(now);
    m_table.tick(now);
    if (m_options.m_self.m_role == VmRole::Entry && now >= m_nextAgentCheck) {
        m_nextAgentCheck = now + agentCheckPeriod;
        checkAgents(now);
    }
    if (now < m_nextRound)
        return;
    ++m_round;
    if (m_options.m_self.m_role == VmRole::Entry)
        entryRound(now, random);
    else
        agentRound(now, random);
}

void MembershipNode::askNextIn(const DataCentreName &dataCentre, TimePoint now)
{
    const std::vector<MemberRecord> &entries = entriesIn(dataCentre);
    for (std::size_t attempt = 0; attempt < entries.size(); ++attempt) {
        const MemberRecord &peer = entries[m_turns[dataCentre]++ % entries.size()];
        if (peer.m_name == m_options.m_self.m_name)
            continue;
        exchangeWith(peer, now);
        return;
    }
}

void MembershipNode::entryRound(TimePoint now, Random &random)
{
    m_nextRound = now + m_options.m_times.m_entryRound;
    refreshEntries();
    if (!isWatcher() && !m_watchers.empty()) {
        if (const auto *watcher = m_table.find(m_watchers[m_round % m_watchers.size()]))
            exchangeWith(*watcher, now);
    }
    if (isWatcher() || m_round % ownRounds == 0)
        askNextIn(m_options.m_self.m_dataCentre, now);
    if (isWatcher() || !isCurrent(now) || m_round % otherRounds == 0)
        askOtherDataCentres(now);
    if (m_round % strangerRounds == 1 || needsVms())
        contactStrangers(now, random);
}

// One data centre a round; while the platform gives no fresh word, so many that all are
// asked well within the window.
void MembershipNode::askOtherDataCentres(TimePoint now)
{
    refreshEntries();
    std::vector<DataCentreName> others;
    for (const auto &[dataCentre, entries] : m_entries) {
        if (dataCentre != m_options.m_self.m_dataCentre && !entries.empty())
            others.push_back(dataCentre);
    }
    if (others.empty())
        return;
    const auto &claim = m_currency.latestClaim();
    const bool hurry = !claim || claim->m_asOf + m_options.m_times.m_claimAge < now;
    const std::size_t count = hurry ? (others.size() + 1) / 2 : 1;
    for (std::size_t index = 0; index < count; ++index)
        askNextIn(others[(m_round * count + index) % others.size()], now);
}

void MembershipNode::agentRound(TimePoint now, Random &random)
{
    const NodeTimes &times = m_options.m_times;
    m_nextRound = now + (isCurrent(now) ? times.m_heartbeat : times.m_hurry);
    std::vector<ProcessName> alive;
    for (const MemberRecord &entry : entriesIn(m_options.m_self.m_dataCentre)) {
        if (entry.m_health == MemberHealth::Alive)
            alive.push_back(entry.m_name);
    }
    const auto homes = chooseByRendezvous(m_options.m_self.m_name.text(), alive, homesPerAgent);
    if (!homes.empty())
        exchangeWith(*m_table.find(homes[m_round % homes.size()]), now);
    if (homes.empty() || (!isCurrent(now) && m_round % strangerRounds == 0))
        contactStrangers(now, random);
}

// Tries one process that is not a live member: one of the seeds, or a dead entry that may
// only have been cut off.
void MembershipNode::contactStrangers(TimePoint now, Random &random)
{
    std::vector<std::pair<ProcessName, SocketAddress>> strangers;
    for (const Vm &seed : m_seeds) {
        const MemberRecord *known = m_table.find(seed.m_name);
        if (seed.m_role == VmRole::Entry && seed.m_name != m_options.m_self.m_name
            && (known == nullptr || known->m_health == MemberHealth::Dead))
            strangers.emplace_back(seed.m_name, seed.m_control);
    }
    for (const MemberRecord *dead : m_table.deadEntries())
        strangers.emplace_back(dead->m_name, dead->m_controlAddress);
    if (strangers.empty())
        return;
    const auto &[name, address] = strangers[random() % strangers.size()];
    exchangeAt(name, address, now);
}

bool MembershipNode::isHomeOf(const MemberRecord &agent)
{
    refreshEntries();
    const auto cached = m_homeOf.find(agent.m_name);
    if (cached != m_homeOf.end())
        return cached->second;
    std::vector<ProcessName> candidates;
    const bool served = !m_entries[agent.m_dataCentre].empty();
    for (const auto &[dataCentre, entries] : m_entries) {
        for (const MemberRecord &entry : entries) {
            if (!served || dataCentre == agent.m_dataCentre)
                candidates.push_back(entry.m_name);
        }
    }
    const auto homes = chooseByRendezvous(agent.m_name.text(), candidates, homesPerAgent);
    const bool home = std::find(homes.begin(), homes.end(), m_options.m_self.m_name) != homes.end();
    m_homeOf[agent.m_name] = home;
    return home;
}

// Suspects agents that this entry is a home of and has not heard of for long.
void MembershipNode::checkAgents(TimePoint now)
{
    std::map<ProcessName, TimePoint> silentAt;
    std::vector<ProcessName> silent;
    for (const MemberRecord *agent : m_table.members(VmRole::Endpoint)) {
        if (!isHomeOf(*agent))
            continue;
        const auto known = m_silentAt.find(agent->m_name);
        silentAt[agent->m_name] =
            known == m_silentAt.end() ? now + m_options.m_times.m_silence : known->second;
        if (silentAt[agent->m_name] <= now)
            silent.push_back(agent->m_name);
    }
    m_silentAt = std::move(silentAt);
    for (const ProcessName &name : silent)
        m_table.suspect(name, now);
}

void MembershipNode::setLeaving(bool leaving)
{
    m_table.setLeaving(leaving);
    m_nextRound = TimePoint();
}

ConfigurationPointer MembershipNode::inForce() const
{
    return m_ready ? m_store.held() : nullptr;
}

TimePoint MembershipNode::currentUntil() const
{
    return m_ready ? m_currency.validUntil() : TimePoint();
}

bool MembershipNode::holdsIn(const DataCentreName &dataCentre, std::uint64_t version) const
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

bool MembershipNode::quorumHoldsOf(const std::vector<DataCentreName> &dataCentres,
                                   std::uint64_t version) const
{
    const auto holding =
        std::count_if(dataCentres.begin(), dataCentres.end(),
                      [&](const auto &dataCentre) { return holdsIn(dataCentre, version); });
    return static_cast<std::size_t>(holding) >= acceptanceQuorum(dataCentres.size());
}

// Counted over the data centres before the change as well, because processes that don't
// have it yet count over those.
bool MembershipNode::quorumHolds(std::uint64_t version) const
{
    return heldVersion() >= version && quorumHoldsOf(m_dataCentres, version)
           && (m_previousDataCentres.empty() || quorumHoldsOf(m_previousDataCentres, version));
}

bool MembershipNode::quorumReachable(TimePoint now) const
{
    return m_currency.canAcceptSince(now - m_options.m_times.m_currencyWindow);
}

void MembershipNode::spread(std::uint64_t version, TimePoint now)
{
    for (const MemberRecord *entry : m_table.members(VmRole::Entry)) {
        const auto known = m_knownVersions.find(entry->m_name);
        const bool holds = known != m_knownVersions.end()
                           && known->second.m_incarnation == entry->m_incarnation
                           && known->second.m_version >= version;
        if (!holds)
            exchangeWith(*entry, now);
    }
}

std::vector<OutgoingMessage> MembershipNode::takeOutgoing()
{
    return std::move(m_outgoing);
}

} // namespace burdockhead
