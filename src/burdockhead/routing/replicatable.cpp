#include <burdockhead/routing/replicatable.h>

#include <algorithm>
#include <xxhash.h>

namespace burdockhead {

namespace {

std::uint64_t hashOf(const AdapterName &adapter)
{
    return XXH64(adapter.text().data(), adapter.text().size(), 0);
}

bool serves(const EndpointGroup &group, const RequestFacts &facts)
{
    const auto contains = [](const auto &names, const auto &name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    return group.m_model == facts.m_model && contains(group.m_kinds, facts.m_kind)
           && (facts.m_adapter.empty() || contains(group.m_adapters, facts.m_adapter));
}

} // namespace

ReplicaTable::ReplicaTable(const RouterOptions &options)
    : m_options(options)
{}

bool ReplicaTable::announce(const ReplicaAnnouncement &announcement, TimePoint now)
{
    Replica &replica = m_replicas[findOrAdd(announcement.m_endpoint)];
    const auto &known = replica.m_announcement;
    const std::uint64_t incarnation = announcement.m_incarnation.m_value;
    if (known && incarnation < known->m_incarnation.m_value)
        return false;
    if (!known || incarnation > known->m_incarnation.m_value)
        startIncarnation(replica, now);
    else if (replica.m_left && announcement.m_state < ReplicaState::Leaving)
        return false;
    const bool wasDead = known && known->m_state == ReplicaState::Dead;
    if (wasDead && announcement.m_state != ReplicaState::Dead)
        replica.m_load.forgetReport();
    replica.m_left = replica.m_left || announcement.m_state == ReplicaState::Leaving;
    replica.m_announcement = announcement;
    updateEligibility(replica);
    return true;
}

std::size_t ReplicaTable::ServiceKeyHash::operator()(const ServiceKey &key) const noexcept
{
    constexpr std::size_t multiplier = 31;
    const std::size_t kind = std::hash<KindName>()(key.m_kind);
    const std::size_t model = std::hash<ModelName>()(key.m_model);
    return (kind * multiplier + model) * multiplier + std::hash<AdapterName>()(key.m_adapter);
}

void ReplicaTable::setEntryCount(unsigned entries)
{
    m_options.m_entries = std::max(1U, entries);
}

void ReplicaTable::noteDispatch(ReplicaIndex index, TimePoint now)
{
    Replica &replica = m_replicas[index];
    replica.m_load.noteDispatch();
    replica.m_breaker.noteDispatch(m_options.m_breakers, now);
    if (!replica.m_placement)
        return;
    DataCentreRecord &dataCentre = mutableDataCentreOf(replica);
    ++dataCentre.m_ownInFlight;
    dataCentre.m_breaker.noteDispatch(m_options.m_dataCentreBreakers, now);
}

void ReplicaTable::noteEnd(ReplicaIndex index, AttemptOutcome outcome, TimePoint now,
                           Random &random)
{
    Replica &replica = m_replicas[index];
    if (replica.m_load.ownInFlight() == 0)
        return;
    replica.m_load.noteEnd();
    const bool failed = outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Unreachable;
    if (failed)
        replica.m_breaker.noteFailure(m_options.m_breakers, now, random);
    else if (outcome == AttemptOutcome::Completed)
        replica.m_breaker.noteSuccess(m_options.m_breakers, now);
    else
        replica.m_breaker.noteNeutral();
    if (replica.m_placement)
        noteDataCentreEnd(mutableDataCentreOf(replica), outcome, now, random);
}

void ReplicaTable::noteDataCentreEnd(DataCentreRecord &dataCentre, AttemptOutcome outcome,
                                     TimePoint now, Random &random)
{
    const BreakerOptions &options = m_options.m_dataCentreBreakers;
    const bool wasClosed = dataCentre.m_breaker.state(now) == BreakerState::Closed;
    if (dataCentre.m_ownInFlight > 0)
        --dataCentre.m_ownInFlight;
    if (outcome == AttemptOutcome::Cancelled)
        dataCentre.m_breaker.noteNeutral();
    else if (outcome == AttemptOutcome::Unreachable)
        dataCentre.m_breaker.noteFailure(options, now, random);
    else
        dataCentre.m_breaker.noteSuccess(options, now);
    if (!wasClosed && dataCentre.m_breaker.state(now) == BreakerState::Closed)
        startRamp(dataCentre);
    else if (outcome == AttemptOutcome::Completed)
        dataCentre.m_ramp.noteCompleted();
    else if (outcome != AttemptOutcome::Cancelled)
        dataCentre.m_ramp.noteFailed();
}

void ReplicaTable::noteReport(ReplicaIndex index, const LoadReport &report, TimePoint now)
{
    Replica &replica = m_replicas[index];
    const bool turnedCold = report.m_isCold && !replica.isCold();
    replica.m_load.noteReport(report, now);
    if (turnedCold)
        replica.m_prefixes.clear();
    if (replica.m_placement)
        m_groups[replica.m_placement->m_group].noteReport(report);
}

void ReplicaTable::notePrefix(ReplicaIndex index, std::uint64_t prefixHash, bool stored)
{
    Replica &replica = m_replicas[index];
    if (stored) {
        replica.m_prefixes.insert(prefixHash);
        m_prefixDirectory.insert(prefixHash, index);
        return;
    }
    replica.m_prefixes.erase(prefixHash);
    m_prefixDirectory.erase(prefixHash, index);
}

void ReplicaTable::noteAdapter(ReplicaIndex index, const AdapterName &adapter)
{
    m_replicas[index].m_adapters.insert(hashOf(adapter));
}

bool ReplicaTable::hasAdapter(ReplicaIndex index, const AdapterName &adapter) const
{
    return adapter.empty() || m_replicas[index].m_adapters.contains(hashOf(adapter));
}

const std::vector<GroupIndex> *ReplicaTable::groupsFor(const RequestFacts &facts) const
{
    if (!m_configuration)
        return nullptr;
    const ServiceKey key{facts.m_kind, facts.m_model, facts.m_adapter};
    const auto cached = m_services.find(key);
    if (cached != m_services.end())
        return &cached->second;
    std::vector<GroupIndex> groups;
    const auto &configured = m_configuration->m_configuration.m_groups;
    for (GroupIndex index = 0; index < configured.size(); ++index) {
        if (serves(configured[index], facts))
            groups.push_back(index);
    }
    if (groups.empty())
        return nullptr;
    return &m_services.emplace(key, std::move(groups)).first->second;
}

std::optional<ReplicaIndex> ReplicaTable::find(const EndpointName &name) const
{
    const auto found = m_byName.find(name);
    if (found == m_byName.end())
        return std::nullopt;
    return found->second;
}

const GroupRecord &ReplicaTable::groupOf(const Replica &replica) const
{
    return m_groups[replica.m_placement->m_group];
}

const DataCentreRecord &ReplicaTable::dataCentreOf(const Replica &replica) const
{
    return m_dataCentres[replica.m_placement->m_dataCentre];
}

std::uint32_t ReplicaTable::coldShare(const Replica &replica) const
{
    return std::max(1U, replica.limit() / m_options.m_entries);
}

DataCentreRecord &ReplicaTable::mutableDataCentreOf(const Replica &replica)
{
    return m_dataCentres[replica.m_placement->m_dataCentre];
}

void ReplicaTable::startRamp(DataCentreRecord &dataCentre) const
{
    const double entries = m_options.m_entries;
    dataCentre.m_ramp.begin(dataCentre.m_coldCapacity / entries,
                            dataCentre.m_warmCapacity / entries);
}

void ReplicaTable::startIncarnation(Replica &replica, TimePoint now)
{
    if (replica.m_placement) {
        DataCentreRecord &dataCentre = mutableDataCentreOf(replica);
        for (std::uint32_t gone = replica.m_load.ownInFlight(); gone > 0; --gone) {
            --dataCentre.m_ownInFlight;
            dataCentre.m_breaker.noteNeutral();
        }
    }
    replica.m_left = false;
    replica.m_load = ReplicaLoad();
    replica.m_prefixes.clear();
    replica.m_adapters.clear();
    replica.m_breaker.noteRestart(m_options.m_breakers, now);
}

void ReplicaTable::updateEligibility(Replica &replica) const
{
    const auto &announced = replica.m_announcement;
    replica.m_eligible = replica.m_placement && !replica.m_placement->m_leaving && announced
                         && !replica.m_left && announced->m_state < ReplicaState::Leaving
                         && !dataCentreOf(replica).m_takenOut
                         && !m_configuration->m_configuration.isTakenOut(announced->m_dataCentre);
}

ReplicaIndex ReplicaTable::findOrAdd(const EndpointName &name)
{
    const auto [place, added] =
        m_byName.try_emplace(name, static_cast<ReplicaIndex>(m_replicas.size()));
    if (added) {
        m_replicas.emplace_back();
        m_replicas.back().m_name = name;
    }
    return place->second;
}

} // namespace burdockhead
