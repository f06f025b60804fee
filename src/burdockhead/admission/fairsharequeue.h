#pragma once

#include <burdockhead/admission/requestqueue.h>

#include <map>
#include <set>
#include <unordered_map>

namespace burdockhead {

// Start-time fair queueing between workspaces, by share; within a workspace by priority and
// then by arrival. Keeps state only for workspaces that are waiting or ahead of the others
// in the present busy period; each operation costs a logarithm of their number.
class FairShareQueue : public RequestQueue
{
public:
    void setShares(const std::vector<Workspace> &workspaces) override;
    void push(const QueuedRequest &request) override;
    std::optional<QueuedRequest> pop() override;
    std::optional<QueuedRequest> remove(const RequestId &id) override;
    std::size_t size() const override { return m_locations.size(); }
    std::size_t aheadOf(const QueuedRequest &request) const override;
    std::optional<RequestId> victimFor(const QueuedRequest &request) const override;
    bool isBounded() const override { return true; }

    // Workspaces that state is kept for.
    std::size_t trackedWorkspaceCount() const { return m_flows.size(); }

private:
    // Position in a workspace's line: higher priorities first, then older arrivals.
    struct Position
    {
        std::uint32_t m_invertedPriority = 0; // The priority, negated so that smaller goes first.
        std::uint64_t m_arrival = 0;

        friend bool operator<(const Position &left, const Position &right)
        {
            return left.m_invertedPriority != right.m_invertedPriority
                       ? left.m_invertedPriority < right.m_invertedPriority
                       : left.m_arrival < right.m_arrival;
        }
    };

    // The waiting requests of one workspace.
    struct Flow
    {
        std::uint32_t m_share = 1;
        double m_startTag = 0;        // Virtual time at which its next request starts.
        std::uint64_t m_sequence = 0; // Grows with each time that a flow begins to wait.
        std::map<Position, QueuedRequest> m_requests;
    };

    struct Location
    {
        Flow *m_flow = nullptr;
        Position m_position;
    };

    // Orders flows by a measure, and equal ones by their age.
    struct FlowKey
    {
        double m_value = 0;
        std::uint64_t m_sequence = 0;
        Flow *m_flow = nullptr;

        friend bool operator<(const FlowKey &left, const FlowKey &right)
        {
            return left.m_value != right.m_value ? left.m_value < right.m_value
                                                 : left.m_sequence < right.m_sequence;
        }
    };

    std::uint32_t shareOf(const WorkspaceName &workspace) const;
    Flow &findOrAddFlow(const WorkspaceName &workspace);
    const Flow *findFlow(const WorkspaceName &workspace) const;
    void addToIndexes(Flow &flow);
    void removeFromIndexes(Flow &flow);
    QueuedRequest extract(Flow &flow, const Position &position);
    void removeIdleFlows();

    std::unordered_map<WorkspaceName, std::uint32_t> m_shares;
    std::unordered_map<WorkspaceName, Flow> m_flows;
    std::unordered_map<RequestId, Location> m_locations;
    std::set<FlowKey> m_byStartTag; // Flows with waiting requests.
    std::set<FlowKey> m_byBacklog;  // The same flows, by waiting requests for a unit of share.
    std::map<double, std::vector<WorkspaceName>>
        m_idleByStartTag; // Flows without, until their start.
    double m_virtualTime = 0;
    std::uint64_t m_queuedShares = 0;
    std::uint64_t m_lastArrival = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace burdockhead
