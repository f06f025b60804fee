#pragma once

#include <burdockhead/routing/filterverdict.h>
#include <burdockhead/routing/replicatable.h>

#include <vector>

namespace burdockhead {

// Inputs, filters and scores of a single routing decision. References its inputs, which must
// outlive it.
class ChoiceContext
{
public:
    ChoiceContext(const ReplicaTable &table, const RouterOptions &options,
                  const RequestAttributes &request, const std::vector<GroupIndex> &groups,
                  const std::vector<EndpointName> &alreadyTried, TimePoint now);

    // Returns whether the replica may be chosen and, if not, the reason.
    FilterVerdict verdict(ReplicaIndex index) const;
    bool permits(ReplicaIndex index) const { return verdict(index) == FilterVerdict::Permitted; }

    // Permits replicas that were rejected only because the cold share is exhausted. They are the
    // last resort: their agents queue the request.
    void enableColdFallback() { m_isColdFallbackEnabled = true; }

    // Returns the estimated completion time at the replica, in microseconds, with penalties for
    // errors, suspicion and a missing adapter. Lower is better.
    double score(ReplicaIndex index) const;

    // Returns the expected queueing time at the replica, in microseconds.
    double expectedWaitMicroseconds(ReplicaIndex index) const;

    // Returns the expected queueing and service time, in microseconds; 0 while no service time has
    // been reported for the group.
    double expectedCompletionMicroseconds(ReplicaIndex index) const;

    // Returns the estimated number of requests running or queued at the replica and its agent.
    double estimatedOutstanding(const Replica &replica) const;

    // Calls the function with the index of every replica in the candidate groups.
    template <typename Function>
    void forEachReplica(Function &&function) const
    {
        for (const GroupIndex group : m_groups) {
            for (const ReplicaIndex index : m_table.group(group).m_members)
                function(index);
        }
    }

    // Returns whether the replica belongs to one of the candidate groups.
    bool isMember(ReplicaIndex index) const;

    const ReplicaTable &table() const { return m_table; }
    const RequestAttributes &request() const { return m_request; }
    const std::vector<GroupIndex> &groups() const { return m_groups; }
    const ChooserOptions &options() const { return m_options.m_chooserOptions; }

private:
    bool wasTried(ReplicaIndex index) const;
    // Returns the reason for rejecting a replica that may not receive new work.
    FilterVerdict ineligibleVerdict(const Replica &replica) const;
    // Applies the circuit breakers, the shares and the queue limit to a replica that may receive
    // new work.
    FilterVerdict filterVerdict(const Replica &replica) const;
    bool isQueueFull(const Replica &replica) const;
    double serviceMicroseconds(const Replica &replica) const;
    // Returns the expected saving of a cached prefix at the replica, in service times.
    double prefixSaving(ReplicaIndex index) const;

    const ReplicaTable &m_table;
    const RouterOptions &m_options;
    const RequestAttributes &m_request;
    const std::vector<GroupIndex> &m_groups;
    std::vector<ReplicaIndex> m_tried;
    TimePoint m_now;
    bool m_isColdFallbackEnabled = false;
};

} // namespace burdockhead
