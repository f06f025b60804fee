#pragma once

#include <burdockhead/admission/requestqueue.h>

#include <map>
#include <set>
#include <unordered_map>

namespace burdockhead {

// Start-time fair queueing across workspaces, weighted by share; within a workspace by priority
// and then by arrival. Keeps state only for workspaces that have queued requests or have received
// more than their share in the current busy period; each operation is logarithmic in their
// number.
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

    // Returns the number of workspaces with state.
    std::size_t trackedWorkspaceCount() const { return m_flows.size(); }

private:
    // Sort key within a workspace: higher priority first, then earlier arrival.
    struct Position
    {
        std::uint32_t m_invertedPriority =
            0; // The highest priority minus this one, so that it sorts first.
        std::uint64_t m_arrival = 0;

        friend bool operator<(const Position &left, const Position &right)
        {
            return left.m_invertedPriority != right.m_invertedPriority
                       ? left.m_invertedPriority < right.m_invertedPriority
                       : left.m_arrival < right.m_arrival;
        }
    };

    // The queued requests of one workspace and its scheduling state.
    struct Flow
    {
        std::uint32_t m_share = 1;
        double m_startTag = 0; // Virtual start time of its next request.
        std::uint64_t m_sequence =
            0; // Tie-breaker; assigned each time that the flow becomes non-empty.
        std::map<Position, QueuedRequest> m_requests;
    };

    // Where a queued request is stored.
    struct Location
    {
        Flow *m_flow = nullptr;
        Position m_position;
    };

    // Sort key of a flow in an index; equal values are ordered by sequence.
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
    // Adds a flow with queued requests to the indexes, by its current keys.
    void addToIndexes(Flow &flow);
    void removeFromIndexes(Flow &flow);
    QueuedRequest extract(Flow &flow, const Position &position);
    // Removes empty flows that are no longer ahead of their share.
    void removeIdleFlows();

    std::unordered_map<WorkspaceName, std::uint32_t> m_shares;
    std::unordered_map<WorkspaceName, Flow> m_flows;
    std::unordered_map<RequestId, Location> m_locations;
    std::set<FlowKey> m_byStartTag; // Flows with queued requests.
    std::set<FlowKey> m_byBacklog;  // The same flows, by queued requests per unit of share.
    std::map<double, std::vector<WorkspaceName>>
        m_idleByStartTag; // Empty flows, kept until the virtual time reaches their start tag.
    double m_virtualTime = 0;
    std::uint64_t m_queuedShares = 0;
    std::uint64_t m_lastArrival = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace burdockhead
