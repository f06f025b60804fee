#pragma once

#include <burdockhead/routing/gateverdict.h>
#include <burdockhead/routing/replicatable.h>

#include <vector>

namespace burdockhead {

// What one decision looks at. Lives no longer than the decision.
class ChoiceContext
{
public:
    ChoiceContext(const ReplicaTable &table, const RouterOptions &options,
                  const RequestAttributes &facts, const std::vector<GroupIndex> &groups,
                  const std::vector<EndpointName> &alreadyTried, TimePoint now);

    // Whether the replica may be chosen, and if not, why.
    GateVerdict verdict(ReplicaIndex index) const;
    bool permits(ReplicaIndex index) const { return verdict(index) == GateVerdict::Permitted; }

    // From now on permits replicas that only the sharing out of cold capacity spoke against.
    // They are a last resort: their agents let the request wait.
    void permitColdReplicas() { m_permitCold = true; }

    // The time that the request would take at the replica, in microseconds, with penalties
    // for what makes a replica less wanted. Lower is better.
    double score(ReplicaIndex index) const;

    // The part of that time before the request runs, in microseconds.
    double expectedWait(ReplicaIndex index) const;

    // The time until the request would be finished, in microseconds.
    double expectedCompletion(ReplicaIndex index) const;

    // Requests at the replica and its agent, estimated.
    double outstanding(const Replica &replica) const;

    // Calls the function with the index of each replica of the groups.
    template <typename Function>
    void forEachReplica(Function &&function) const
    {
        for (const GroupIndex group : m_groups) {
            for (const ReplicaIndex index : m_table.group(group).m_members)
                function(index);
        }
    }

    // Whether the replica belongs to one of the groups.
    bool isMember(ReplicaIndex index) const;

    const ReplicaTable &table() const { return m_table; }
    const RequestAttributes &facts() const { return m_facts; }
    const std::vector<GroupIndex> &groups() const { return m_groups; }
    const ChooserOptions &options() const { return m_options.m_choice; }

private:
    bool wasTried(ReplicaIndex index) const;
    GateVerdict ineligibility(const Replica &replica) const;
    GateVerdict gateVerdict(const Replica &replica) const;
    bool isFull(const Replica &replica) const;
    double serviceMicroseconds(const Replica &replica) const;
    double prefixSaving(ReplicaIndex index) const;

    const ReplicaTable &m_table;
    const RouterOptions &m_options;
    const RequestAttributes &m_facts;
    const std::vector<GroupIndex> &m_groups;
    std::vector<ReplicaIndex> m_tried;
    TimePoint m_now;
    bool m_permitCold = false;
};

} // namespace burdockhead
