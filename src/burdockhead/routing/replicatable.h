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

// All replicas known to an entry, with their configured, announced, reported and observed state.
// Indexed by endpoint name and by group, so that a decision examines only a few replicas.
class ReplicaTable
{
public:
    explicit ReplicaTable(const RouterOptions &options);

    // Applies a configuration with a higher version than the current one. Returns false, without a
    // change, for any other.
    bool applyConfiguration(const ConfigurationPointer &configuration);

    // Applies a membership announcement. Returns false, without a change, for an earlier
    // incarnation and for a leaving incarnation that is announced as alive again.
    bool applyAnnouncement(const ReplicaAnnouncement &announcement, TimePoint now);

    // Sets the number of entries that share the endpoints.
    void setEntryCount(unsigned entries);

    // Record the start and end of an attempt, a load report, a cache event and a used adapter.
    void onDispatched(ReplicaIndex index, TimePoint now);
    void onAttemptEnded(ReplicaIndex index, AttemptOutcome outcome, TimePoint now, Random &random);
    void recordReport(ReplicaIndex index, const LoadReport &report, TimePoint now);
    void recordPrefix(ReplicaIndex index, std::uint64_t prefixHash, bool stored);
    void recordAdapter(ReplicaIndex index, const AdapterName &adapter);

    // Returns whether the adapter is probably loaded; true for an empty name.
    bool hasAdapter(ReplicaIndex index, const AdapterName &adapter) const;

    // Returns the groups that serve the request's kind, model and adapter; null if there are none.
    // Valid until the next configuration is applied.
    const std::vector<GroupIndex> *groupsFor(const RequestAttributes &request) const;

    // Returns the index of an endpoint's replica, if it is known.
    std::optional<ReplicaIndex> find(const EndpointName &name) const;

    const Replica &replica(ReplicaIndex index) const { return m_replicas[index]; }
    const GroupRecord &group(GroupIndex index) const { return m_groups[index]; }
    const GroupRecord &groupOf(const Replica &replica) const;
    const DataCentreRecord &dataCentreOf(const Replica &replica) const;
    const std::vector<Replica> &replicas() const { return m_replicas; }
    const std::vector<GroupRecord> &groups() const { return m_groups; }
    const PrefixDirectory &prefixDirectory() const { return m_prefixDirectory; }

    // Returns the current configuration; null before the first.
    const ConfigurationPointer &configuration() const { return m_configuration; }

    // Returns one entry's share of a cold replica's concurrency limit; at least 1.
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
    void onDataCentreAttemptEnded(DataCentreRecord &dataCentre, AttemptOutcome outcome,
                                  TimePoint now, Random &random);
    double roundTripTo(const DataCentreName &dataCentre) const;
    void updateDataCentres(const Configuration &configuration);
    void updateGroups(const Configuration &configuration);
    // Removes replicas that are neither configured nor running, if there are too many.
    void pruneStaleReplicas(const Configuration &configuration);
    // Assign the replicas of configured endpoints to their groups and data centres.
    void assignPlacements(const Configuration &configuration);
    void assignPlacement(const Configuration &configuration, const Endpoint &endpoint);
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
    std::vector<DataCentreRecord> m_dataCentres; // In the order of the configuration.
    std::unordered_map<EndpointName, ReplicaIndex> m_indexByName;
    PrefixDirectory m_prefixDirectory;
    // Cache of groupsFor(); bounded, because it holds configured combinations only.
    mutable std::unordered_map<ServiceKey, std::vector<GroupIndex>, ServiceKeyHash>
        m_groupsByService;
};

} // namespace burdockhead
