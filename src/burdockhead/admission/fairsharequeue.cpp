#include <burdockhead/admission/fairsharequeue.h>

#include <algorithm>
#include <cmath>

namespace burdockhead {

namespace {

constexpr std::uint32_t highestPriority = 9;

std::uint32_t urgencyOf(const QueuedRequest &request)
{
    return highestPriority - std::min(request.m_priority, highestPriority);
}

double lengthFor(std::size_t waiting, std::uint32_t share)
{
    return static_cast<double>(waiting) / share;
}

} // namespace

void FairShareQueue::setShares(const std::vector<Workspace> &workspaces)
{
    m_shares.clear();
    for (const Workspace &workspace : workspaces)
        m_shares[workspace.m_name] = std::max<std::uint32_t>(workspace.m_share, 1);
    for (auto &[name, flow] : m_flows) {
        const bool waiting = !flow.m_waiting.empty();
        if (waiting)
            delist(flow);
        flow.m_share = shareOf(name);
        if (waiting)
            enlist(flow);
    }
}

void FairShareQueue::push(const QueuedRequest &request)
{
    Flow &flow = flowOf(request.m_workspace);
    if (flow.m_waiting.empty()) {
        flow.m_start = std::max(flow.m_start, m_virtualTime);
        flow.m_number = ++m_flowNumbers;
    } else {
        delist(flow);
    }
    const Order order{urgencyOf(request), ++m_arrivals};
    flow.m_waiting.emplace(order, request);
    m_place[request.m_id] = {&flow, order};
    enlist(flow);
}

std::optional<QueuedRequest> FairShareQueue::pop()
{
    if (m_byStart.empty())
        return std::nullopt;
    Flow &flow = *m_byStart.begin()->m_flow;
    delist(flow);
    m_virtualTime = flow.m_start;
    flow.m_start += 1.0 / flow.m_share;
    return take(flow, flow.m_waiting.begin()->first);
}

std::optional<QueuedRequest> FairShareQueue::remove(const RequestId &id)
{
    const auto found = m_place.find(id);
    if (found == m_place.end())
        return std::nullopt;
    const Place place = found->second;
    delist(*place.m_flow);
    return take(*place.m_flow, place.m_order);
}

std::size_t FairShareQueue::aheadOf(const QueuedRequest &request) const
{
    const Flow *flow = findFlow(request.m_workspace);
    const double share = shareOf(request.m_workspace);
    const std::size_t own = flow ? flow->m_waiting.size() : 0;
    const bool waiting = own > 0;
    const double others = static_cast<double>(m_waitingShares) - (waiting ? share : 0);
    const double ahead = static_cast<double>(own) + std::ceil((own + 1) * others / share);
    return std::min(size(), static_cast<std::size_t>(ahead));
}

std::optional<RequestId> FairShareQueue::victimFor(const QueuedRequest &request) const
{
    if (m_byLength.empty())
        return std::nullopt;
    const Flow *own = findFlow(request.m_workspace);
    const Flow *longest = m_byLength.rbegin()->m_flow;
    const auto &[lastOrder, last] = *longest->m_waiting.rbegin();
    if (longest == own) {
        return lastOrder.m_urgency > urgencyOf(request) ? std::optional(last.m_id) : std::nullopt;
    }
    const std::size_t ownWaiting = own ? own->m_waiting.size() : 0;
    const double ownLength = lengthFor(ownWaiting + 1, shareOf(request.m_workspace));
    if (lengthFor(longest->m_waiting.size(), longest->m_share) <= ownLength)
        return std::nullopt;
    return last.m_id;
}

std::uint32_t FairShareQueue::shareOf(const WorkspaceName &workspace) const
{
    const auto found = m_shares.find(workspace);
    return found == m_shares.end() ? 1 : found->second;
}

FairShareQueue::Flow &FairShareQueue::flowOf(const WorkspaceName &workspace)
{
    const auto [place, added] = m_flows.try_emplace(workspace);
    if (added)
        place->second.m_share = shareOf(workspace);
    return place->second;
}

const FairShareQueue::Flow *FairShareQueue::findFlow(const WorkspaceName &workspace) const
{
    const auto found = m_flows.find(workspace);
    return found == m_flows.end() ? nullptr : &found->second;
}

void FairShareQueue::enlist(Flow &flow)
{
    m_byStart.insert({flow.m_start, flow.m_number, &flow});
    m_byLength.insert({lengthFor(flow.m_waiting.size(), flow.m_share), flow.m_number, &flow});
    m_waitingShares += flow.m_share;
}

void FairShareQueue::delist(Flow &flow)
{
    m_byStart.erase({flow.m_start, flow.m_number, &flow});
    m_byLength.erase({lengthFor(flow.m_waiting.size(), flow.m_share), flow.m_number, &flow});
    m_waitingShares -= flow.m_share;
}

QueuedRequest FairShareQueue::take(Flow &flow, const Order &order)
{
    const auto place = flow.m_waiting.find(order);
    QueuedRequest request = std::move(place->second);
    flow.m_waiting.erase(place);
    m_place.erase(request.m_id);
    if (!flow.m_waiting.empty())
        enlist(flow);
    else
        m_idle[flow.m_start].push_back(request.m_workspace);
    forgetIdleFlows();
    return request;
}

// An empty queue ends the busy period, and nobody is ahead any more.
void FairShareQueue::forgetIdleFlows()
{
    if (m_place.empty()) {
        m_flows.clear();
        m_idle.clear();
        m_virtualTime = 0;
        return;
    }
    while (!m_idle.empty() && m_idle.begin()->first <= m_virtualTime) {
        for (const WorkspaceName &workspace : m_idle.begin()->second) {
            const auto found = m_flows.find(workspace);
            if (found != m_flows.end() && found->second.m_waiting.empty()
                && found->second.m_start <= m_virtualTime)
                m_flows.erase(found);
        }
        m_idle.erase(m_idle.begin());
    }
}

} // namespace burdockhead
