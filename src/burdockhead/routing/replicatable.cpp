#include <burdockhead/routing/replicatable.h>

#include <algorithm>
#include <xxhash.h>

namespace burdockhead {

namespace {

std::uint64_t hashOf(const AdapterName &adapter)
{
    return XXH64(adapter.text().data(), adapter.text().size(), 0);
}

bool serves(const EndpointGroup &group, const RequestAttributes &request)
{
    const auto contains = [](const auto &names, const auto &name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    return group.m_model == request.m_model && contains(group.m_kinds, request.m_kind)
           && (request.m_adapter.empty() || contains(group.m_adapters, request.m_adapter));
}

} // namespace

ReplicaTable::ReplicaTable(const RouterOptions &options)
    : m_options(options)
{}

bool ReplicaTable::applyAnnouncement(const ReplicaAnnouncement &announcement, TimePoint now)
{
    Replica &replica = m_replicas[findOrAdd(announcement.m_endpoint)];
    const auto &known = replica.m_announcement;
    const std::uint64_t incarnation = announcement.m_incarnation.m_value;
    if (known && incarnation < known->m_incarnation.m_value)
        return false;
    if (!known || incarnation > known->m_incarnation.m_value)
        startIncarnation(replica, now);
    else if (replica.m_hasLeft && announcement.m_state < ReplicaState::Leaving)
        return false;
    const bool wasDead = known && known->m_state == ReplicaState::Dead;
    if (wasDead && announcement.m_state != ReplicaState::Dead)
        replica.m_load.forgetReport();
    replica.m_hasLeft = replica.m_hasLeft || announcement.m_state == ReplicaState::Leaving;
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
    m_options.m_entryCount = std::max(1U, entries);
}

void ReplicaTable::onDispatched(ReplicaIndex index, TimePoint now)
{
    Replica &replica = m_replicas[index];
    replica.m_load.onDispatched();
    replica.m_breaker.onDispatched(m_options.m_breakers, now);
    if (!replica.m_placement)
        return;
    DataCentreRecord &dataCentre = mutableDataCentreOf(replica);
    ++dataCentre.m_localInFlight;
    dataCentre.m_breaker.onDispatched(m_options.m_dataCentreBreakers, now);
}

void ReplicaTable::onAttemptEnded(ReplicaIndex index, AttemptOutcome outcome, TimePoint now,
                                  Random &random)
{
    Replica &replica = m_replicas[index];
    if (replica.m_load.localInFlight() == 0)
        return;
    replica.m_load.onAttemptEnded();
    const bool hasFailed =
        outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::Unreachable;
    if (hasFailed)
        replica.m_breaker.recordFailure(m_options.m_breakers, now, random);
    else if (outcome == AttemptOutcome::Completed)
        replica.m_breaker.recordSuccess(m_options.m_breakers, now);
    else
        replica.m_breaker.recordNeutral();
    if (replica.m_placement)
        onDataCentreAttemptEnded(mutableDataCentreOf(replica), outcome, now, random);
}

void ReplicaTable::onDataCentreAttemptEnded(DataCentreRecord &dataCentre, AttemptOutcome outcome,
                                            TimePoint now, Random &random)
{
    const BreakerOptions &options = m_options.m_dataCentreBreakers;
    const bool wasClosed = dataCentre.m_breaker.state(now) == BreakerState::Closed;
    if (dataCentre.m_localInFlight > 0)
        --dataCentre.m_localInFlight;
    if (outcome == AttemptOutcome::Cancelled)
        dataCentre.m_breaker.recordNeutral();
    else if (outcome == AttemptOutcome::Unreachable)
        dataCentre.m_breaker.recordFailure(options, now, random);
    else
        dataCentre.m_breaker.recordSuccess(options, now);
    if (!wasClosed && dataCentre.m_breaker.state(now) == BreakerState::Closed)
        startRamp(dataCentre);
    else if (outcome == AttemptOutcome::Completed)
        dataCentre.m_ramp.onCompleted();
    else if (outcome != AttemptOutcome::Cancelled)
        dataCentre.m_ramp.onFailed();
}

void ReplicaTable::recordReport(ReplicaIndex index, const LoadReport &report, TimePoint now)
{
    Replica &replica = m_replicas[index];
    const bool hasTurnedCold = report.m_isCold && !replica.isCold();
    replica.m_load.recordReport(report, now);
    if (hasTurnedCold)
        replica.m_prefixes.clear();
    if (replica.m_placement)
        m_groups[replica.m_placement->m_group].recordReport(report);
}

void ReplicaTable::recordPrefix(ReplicaIndex index, std::uint64_t prefixHash, bool stored)
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

void ReplicaTable::recordAdapter(ReplicaIndex index, const AdapterName &adapter)
{
    m_replicas[index].m_adapters.insert(hashOf(adapter));
}

bool ReplicaTable::hasAdapter(ReplicaIndex index, const AdapterName &adapter) const
{
    return adapter.empty() || m_replicas[index].m_adapters.contains(hashOf(adapter));
}

const std::vector<GroupIndex> *ReplicaTable::groupsFor(const RequestAttributes &request) const
{
    if (!m_configuration)
        return nullptr;
    const ServiceKey key{request.m_kind, request.m_model, request.m_adapter};
    const auto cached = m_groupsByService.find(key);
    if (cached != m_groupsByService.end())
        return &cached->second;
    std::vector<GroupIndex> groups;
    const auto &configured = m_configuration->m_configuration.m_groups;
    for (GroupIndex index = 0; index < configured.size(); ++index) {
        if (serves(configured[index], request))
            groups.push_back(index);
    }
    if (groups.empty())
        return nullptr;
    return &m_groupsByService.emplace(key, std::move(groups)).first->second;
}

std::optional<ReplicaIndex> ReplicaTable::find(const EndpointName &name) const
{
    const auto found = m_indexByName.find(name);
    if (found == m_indexByName.end())
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
    return std::max(1U, replica.limit() / m_options.m_entryCount);
}

DataCentreRecord &ReplicaTable::mutableDataCentreOf(const Replica &replica)
{
    return m_dataCentres[replica.m_placement->m_dataCentre];
}

void ReplicaTable::startRamp(DataCentreRecord &dataCentre) const
{
    const double entries = m_options.m_entryCount;
    dataCentre.m_ramp.begin(dataCentre.m_coldCapacity / entries,
                            dataCentre.m_warmCapacity / entries);
}

void ReplicaTable::startIncarnation(Replica &replica, TimePoint now)
{
    if (replica.m_placement) {
        DataCentreRecord &dataCentre = mutableDataCentreOf(replica);
        for (std::uint32_t remaining = replica.m_load.localInFlight(); remaining > 0; --remaining) {
            --dataCentre.m_localInFlight;
            dataCentre.m_breaker.recordNeutral();
        }
    }
    replica.m_hasLeft = false;
    replica.m_load = ReplicaLoad();
    replica.m_prefixes.clear();
    replica.m_adapters.clear();
    replica.m_breaker.onRestart(m_options.m_breakers, now);
}

void ReplicaTable::updateEligibility(Replica &replica) const
{
    const auto &announced = replica.m_announcement;
    replica.m_isEligible = replica.m_placement && !replica.m_placement->m_leaving && announced
                           && !replica.m_hasLeft && announced->m_state < ReplicaState::Leaving
                           && !dataCentreOf(replica).m_isTakenOut
                           && !m_configuration->m_configuration.isTakenOut(announced->m_dataCentre);
}

ReplicaIndex ReplicaTable::findOrAdd(const EndpointName &name)
{
    const auto [position, isAdded] =
        m_indexByName.try_emplace(name, static_cast<ReplicaIndex>(m_replicas.size()));
    if (isAdded) {
        m_replicas.emplace_back();
        m_replicas.back().m_name = name;
    }
    return position->second;
}

} // namespace burdockhead
