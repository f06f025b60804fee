#include <burdockhead/routing/tablesnapshot.h>

#include <algorithm>

namespace burdockhead {

namespace {

double estimatedLoad(const ReplicaTable &table, const Replica &replica,
                     const ChooserOptions &options, TimePoint now)
{
    const double average = table.groupOf(replica).m_averageOutstanding;
    return replica.m_load.estimatedOutstanding(average, options.m_reportHalfLife, now);
}

EndpointSnapshot snapshotOf(const ReplicaTable &table, const Replica &replica,
                            const ChooserOptions &options, TimePoint now)
{
    EndpointSnapshot snapshot;
    snapshot.m_endpoint = replica.m_name;
    snapshot.m_group = table.groupOf(replica).m_name;
    snapshot.m_dataCentre = table.dataCentreOf(replica).m_name;
    if (replica.m_announcement) {
        snapshot.m_incarnation = replica.m_announcement->m_incarnation;
        snapshot.m_state = replica.m_announcement->m_state;
    }
    snapshot.m_report = replica.m_load.report();
    snapshot.m_localInFlight = replica.m_load.localInFlight();
    snapshot.m_estimatedLoad = estimatedLoad(table, replica, options, now);
    snapshot.m_breakerState = replica.m_breaker.state(now);
    return snapshot;
}

} // namespace

std::vector<EndpointSnapshot> takeSnapshot(const ReplicaTable &table, const ChooserOptions &options,
                                           TimePoint now)
{
    std::vector<EndpointSnapshot> snapshots;
    for (const Replica &replica : table.replicas()) {
        if (replica.m_placement)
            snapshots.push_back(snapshotOf(table, replica, options, now));
    }
    std::sort(snapshots.begin(), snapshots.end(),
              [](const EndpointSnapshot &left, const EndpointSnapshot &right) {
                  return left.m_endpoint < right.m_endpoint;
              });
    return snapshots;
}

double groupLoadSkew(const ReplicaTable &table, const ChooserOptions &options,
                     const GroupName &group, TimePoint now)
{
    double sum = 0;
    double highest = 0;
    unsigned count = 0;
    for (const Replica &replica : table.replicas()) {
        if (!replica.mayReceiveWork() || table.groupOf(replica).m_name != group)
            continue;
        const double load = estimatedLoad(table, replica, options, now);
        sum += load;
        highest = std::max(highest, load);
        ++count;
    }
    return sum > 0 ? highest * count / sum : 1;
}

} // namespace burdockhead
