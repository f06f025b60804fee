#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/configuration/versionedconfiguration.h>
#include <burdockhead/routing/attemptoutcome.h>
#include <burdockhead/routing/datacentrerecord.h>
#include <burdockhead/routing/grouprecord.h>
#include <burdockhead/routing/prefixdirectory.h>
#include <burdockhead/routing/replica.h>
#include <burdockhead/routing/requestattributes.h>
#include <burdockhead/routing/routeroptions.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace burdockhead {

// Every replica that an entry knows, by endpoint name: what is configured, announced,
// reported and observed. Indexed by group, so that a decision looks at a few replicas only.
class ReplicaTable
{
public:
    explicit ReplicaTable(const RouterOptions &options);

    // Takes a configuration with a higher version than the present one; false and no change
    // for any other.
    bool applyConfiguration(const ConfigurationPointer &configuration);

    // Takes membership's word on a replica. False and no change for an earlier incarnation,
    // and for one that is leaving and is said to be alive again.
    bool announce(const ReplicaAnnouncement &announcement, TimePoint now);

    // Tells how many entries share the endpoints.
    void setEntryCount(unsigned entries);

    // Notes an attempt's begin, its end, a report, and a cache event.
    void noteDispatch(ReplicaIndex index, TimePoint now);
    void noteEnd(ReplicaIndex index, AttemptOutcome outcome, TimePoint now, Random &random);
    void noteReport(ReplicaIndex index, const LoadReport &report, TimePoint now);
    void notePrefix(ReplicaIndex index, std::uint64_t prefixHash, bool stored);
    void noteAdapter(ReplicaIndex index, const AdapterName &adapter);

    // Whether the adapter is probably loaded; true for none.
    bool hasAdapter(ReplicaIndex index, const AdapterName &adapter) const;

    // The groups that can answer a request of this kind, model and adapter; a null pointer
    // when there are none. Valid until the next configuration.
    const std::vector<GroupIndex> *groupsFor(const RequestAttributes &facts) const;

    // The place of an endpoint's replica, if it is known.
    std::optional<ReplicaIndex> find(const EndpointName &name) const;

    const Replica &replica(ReplicaIndex index) const { return m_replicas[index]; }
    const GroupRecord &group(GroupIndex index) const { return m_groups[index]; }
    const GroupRecord &groupOf(const Replica &replica) const;
    const DataCentreRecord &dataCentreOf(const Replica &replica) const;
    const std::vector<Replica> &replicas() const { return m_replicas; }
    const std::vector<GroupRecord> &groups() const { return m_groups; }
    const PrefixDirectory &prefixDirectory() const { return m_prefixDirectory; }

    // The configuration in force; a null pointer before the first.
    const ConfigurationPointer &configuration() const { return m_configuration; }

    // An entry's share of the requests that a cold replica may run; at least 1.
    std::uint32_t coldShare(const Replica &replica) const;

private:
    struct ServiceKey
    {
        KindName m_kind;
        ModelName m_model;
        AdapterName m_adapter;

        friend bool operator==(const ServiceKey &, const ServiceKey &) = default;
    };

    struct ServiceKeyHash
    {
        std::size_t operator()(const ServiceKey &key) const noexcept;
    };

    DataCentreRecord &mutableDataCentreOf(const Replica &replica);
    void noteDataCentreEnd(DataCentreRecord &dataCentre, AttemptOutcome outcome, TimePoint now,
                           Random &random);
    double distanceTo(const DataCentreName &dataCentre) const;
    void updateDataCentres(const Configuration &configuration);
    void updateGroups(const Configuration &configuration);
    void dropForgotten(const Configuration &configuration);
    void placeReplicas(const Configuration &configuration);
    void placeReplica(const Configuration &configuration, const Endpoint &endpoint);
    void startRamps(const Configuration &previous);
    void startRamp(DataCentreRecord &dataCentre) const;
    void startIncarnation(Replica &replica, TimePoint now);
    void updateEligibility(Replica &replica) const;
    std::optional<DataCentreIndex> findDataCentre(const DataCentreName &name) const;
    std::optional<GroupIndex> findGroup(const GroupName &name) const;
    ReplicaIndex findOrAdd(const EndpointName &name);

    RouterOptions m_options;
    ConfigurationPointer m_configuration;
    std::vector<Replica> m_replicas;
    std::vector<GroupRecord> m_groups;           // Sorted by name.
    std::vector<DataCentreRecord> m_dataCentres; // In order of first mention.
    std::unordered_map<EndpointName, ReplicaIndex> m_byName;
    PrefixDirectory m_prefixDirectory;
    // Answers of groupsFor() by key; holds configured combinations only, so it is bounded.
    mutable std::unordered_map<ServiceKey, std::vector<GroupIndex>, ServiceKeyHash> m_services;
};

} // namespace burdockhead
