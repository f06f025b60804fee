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
    std::size_t size() const override { return m_place.size(); }
    std::size_t aheadOf(const QueuedRequest &request) const override;
    std::optional<RequestId> victimFor(const QueuedRequest &request) const override;
    bool bounded() const override { return true; }

    // Workspaces that state is kept for.
    std::size_t flowCount() const { return m_flows.size(); }

private:
    // Position in a workspace's line: higher priorities first, then older arrivals.
    struct Order
    {
        std::uint32_t m_urgency = 0; // The priority, negated so that smaller goes first.
        std::uint64_t m_arrival = 0;

        friend bool operator<(const Order &left, const Order &right)
        {
            return left.m_urgency != right.m_urgency ? left.m_urgency < right.m_urgency
                                                     : left.m_arrival < right.m_arrival;
        }
    };

    // The waiting requests of one workspace.
    struct Flow
    {
        std::uint32_t m_share = 1;
        double m_start = 0;         // Virtual time at which its next request starts.
        std::uint64_t m_number = 0; // Grows with each time that a flow begins to wait.
        std::map<Order, QueuedRequest> m_waiting;
    };

    struct Place
    {
        Flow *m_flow = nullptr;
        Order m_order;
    };

    // Orders flows by a measure, and equal ones by their age.
    struct Rank
    {
        double m_measure = 0;
        std::uint64_t m_number = 0;
        Flow *m_flow = nullptr;

        friend bool operator<(const Rank &left, const Rank &right)
        {
            return left.m_measure != right.m_measure ? left.m_measure < right.m_measure
                                                     : left.m_number < right.m_number;
        }
    };

    std::uint32_t shareOf(const WorkspaceName &workspace) const;
    Flow &flowOf(const WorkspaceName &workspace);
    const Flow *findFlow(const WorkspaceName &workspace) const;
    void enlist(Flow &flow);
    void delist(Flow &flow);
    QueuedRequest take(Flow &flow, const Order &order);
    void forgetIdleFlows();

    std::unordered_map<WorkspaceName, std::uint32_t> m_shares;
    std::unordered_map<WorkspaceName, Flow> m_flows;
    std::unordered_map<RequestId, Place> m_place;
    std::set<Rank> m_byStart;  // Flows with waiting requests.
    std::set<Rank> m_byLength; // The same flows, by waiting requests for a unit of share.
    std::map<double, std::vector<WorkspaceName>> m_idle; // Flows without, until their start.
    double m_virtualTime = 0;
    std::uint64_t m_waitingShares = 0;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_flowNumbers = 0;
};

} // namespace burdockhead
