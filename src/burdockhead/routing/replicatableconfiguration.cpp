// Implements how ReplicaTable applies a configuration.
#include <burdockhead/routing/replicatable.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Replicas kept although neither configured nor running. A late announcement of an earlier
// incarnation is then still recognised if the endpoint is configured again.
constexpr std::ptrdiff_t maxStaleReplicas = 4096;

} // namespace

bool ReplicaTable::applyConfiguration(const ConfigurationPointer &configuration)
{
    if (!configuration
        || (m_configuration && configuration->m_version <= m_configuration->m_version))
        return false;
    const ConfigurationPointer previous = m_configuration;
    m_configuration = configuration;
    m_groupsByService.clear();
    pruneStaleReplicas(configuration->m_configuration);
    updateDataCentres(configuration->m_configuration);
    updateGroups(configuration->m_configuration);
    assignPlacements(configuration->m_configuration);
    if (previous)
        startRamps(previous->m_configuration);
    return true;
}

// Removes replicas that are neither configured nor running once there are too many, so that the
// table doesn't grow with every endpoint ever seen.
void ReplicaTable::pruneStaleReplicas(const Configuration &configuration)
{
    const auto isStale = [&configuration](const Replica &replica) {
        const bool isRunning =
            replica.m_announcement && replica.m_announcement->m_state != ReplicaState::Dead;
        return !isRunning && configuration.endpoint(replica.m_name) == nullptr;
    };
    if (std::count_if(m_replicas.begin(), m_replicas.end(), isStale) <= maxStaleReplicas)
        return;
    std::erase_if(m_replicas, isStale);
    m_prefixDirectory.clear();
    m_indexByName.clear();
    for (ReplicaIndex index = 0; index < m_replicas.size(); ++index)
        m_indexByName.emplace(m_replicas[index].m_name, index);
}

void ReplicaTable::updateDataCentres(const Configuration &configuration)
{
    std::vector<DataCentreRecord> records;
    for (const DataCentre &dataCentre : configuration.m_dataCentres) {
        const auto known = findDataCentre(dataCentre.m_name);
        DataCentreRecord record = known ? m_dataCentres[*known] : DataCentreRecord();
        record.m_name = dataCentre.m_name;
        record.m_isTakenOut = dataCentre.m_takenOut;
        record.m_roundTripMicroseconds = roundTripTo(dataCentre.m_name);
        record.m_localInFlight = 0;
        record.m_coldCapacity = 0;
        record.m_warmCapacity = 0;
        records.push_back(std::move(record));
    }
    m_dataCentres = std::move(records);
}

void ReplicaTable::updateGroups(const Configuration &configuration)
{
    std::vector<GroupRecord> records;
    for (const EndpointGroup &group : configuration.m_groups) {
        const auto known = findGroup(group.m_name);
        GroupRecord record;
        record.m_name = group.m_name;
        if (known) {
            record.m_averageOutstanding = m_groups[*known].m_averageOutstanding;
            record.m_averageLimit = m_groups[*known].m_averageLimit;
            record.m_averageServiceMicroseconds = m_groups[*known].m_averageServiceMicroseconds;
        }
        records.push_back(std::move(record));
    }
    m_groups = std::move(records);
}

void ReplicaTable::assignPlacements(const Configuration &configuration)
{
    for (Replica &replica : m_replicas)
        replica.m_placement.reset();
    for (const Endpoint &endpoint : configuration.m_endpoints)
        assignPlacement(configuration, endpoint);
    for (Replica &replica : m_replicas)
        updateEligibility(replica);
    for (GroupRecord &group : m_groups)
        group.m_ring.sortPoints();
}

void ReplicaTable::assignPlacement(const Configuration &configuration, const Endpoint &endpoint)
{
    const EndpointGroup *group = configuration.group(endpoint.m_group);
    const auto groupIndex = findGroup(endpoint.m_group);
    const auto dataCentreIndex = findDataCentre(endpoint.m_dataCentre);
    if (group == nullptr || !groupIndex || !dataCentreIndex)
        return;
    const ReplicaIndex index = findOrAdd(endpoint.m_name);
    Replica &replica = m_replicas[index];
    replica.m_placement =
        ReplicaPlacement{*groupIndex,        *dataCentreIndex,    group->m_coldLimit,
                         group->m_warmLimit, group->m_queueLimit, endpoint.m_leaving};
    m_groups[*groupIndex].m_members.push_back(index);
    m_groups[*groupIndex].m_ring.add(endpoint.m_name, index);
    DataCentreRecord &dataCentre = m_dataCentres[*dataCentreIndex];
    dataCentre.m_localInFlight += replica.m_load.localInFlight();
    dataCentre.m_coldCapacity += group->m_coldLimit;
    dataCentre.m_warmCapacity += group->m_warmLimit;
}

void ReplicaTable::startRamps(const Configuration &previous)
{
    for (DataCentreRecord &dataCentre : m_dataCentres) {
        if (!dataCentre.m_isTakenOut && previous.isTakenOut(dataCentre.m_name))
            startRamp(dataCentre);
    }
}

double ReplicaTable::roundTripTo(const DataCentreName &dataCentre) const
{
    if (dataCentre == m_options.m_localDataCentre)
        return 0;
    for (const DataCentreRoundTrip &listed : m_options.m_roundTrips) {
        if (listed.m_dataCentre == dataCentre)
            return static_cast<double>(listed.m_roundTrip.count());
    }
    return static_cast<double>(m_options.m_defaultRoundTrip.count());
}

std::optional<DataCentreIndex> ReplicaTable::findDataCentre(const DataCentreName &name) const
{
    const auto found =
        std::find_if(m_dataCentres.begin(), m_dataCentres.end(),
                     [&name](const DataCentreRecord &record) { return record.m_name == name; });
    if (found == m_dataCentres.end())
        return std::nullopt;
    return static_cast<DataCentreIndex>(found - m_dataCentres.begin());
}

std::optional<GroupIndex> ReplicaTable::findGroup(const GroupName &name) const
{
    const auto found = std::lower_bound(
        m_groups.begin(), m_groups.end(), name,
        [](const GroupRecord &record, const GroupName &key) { return record.m_name < key; });
    if (found == m_groups.end() || found->m_name != name)
        return std::nullopt;
    return static_cast<GroupIndex>(found - m_groups.begin());
}

} // namespace burdockhead
