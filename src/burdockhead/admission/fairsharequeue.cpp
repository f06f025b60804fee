#include <burdockhead/admission/fairsharequeue.h>

#include <algorithm>
#include <cmath>

namespace burdockhead {

namespace {

constexpr std::uint32_t highestPriority = 9;

std::uint32_t invertedPriority(const QueuedRequest &request)
{
    return highestPriority - std::min(request.m_priority, highestPriority);
}

double normalizedBacklog(std::size_t requestCount, std::uint32_t share)
{
    return static_cast<double>(requestCount) / share;
}

} // namespace

void FairShareQueue::setShares(const std::vector<Workspace> &workspaces)
{
    m_shares.clear();
    for (const Workspace &workspace : workspaces)
        m_shares[workspace.m_name] = std::max<std::uint32_t>(workspace.m_share, 1);
    for (auto &[name, flow] : m_flows) {
        const bool hasRequests = !flow.m_requests.empty();
        if (hasRequests)
            removeFromIndexes(flow);
        flow.m_share = shareOf(name);
        if (hasRequests)
            addToIndexes(flow);
    }
}

void FairShareQueue::push(const QueuedRequest &request)
{
    Flow &flow = findOrAddFlow(request.m_workspace);
    if (flow.m_requests.empty()) {
        flow.m_startTag = std::max(flow.m_startTag, m_virtualTime);
        flow.m_sequence = ++m_lastSequence;
    } else {
        removeFromIndexes(flow);
    }
    const Position position{invertedPriority(request), ++m_lastArrival};
    flow.m_requests.emplace(position, request);
    m_locations[request.m_id] = {&flow, position};
    addToIndexes(flow);
}

std::optional<QueuedRequest> FairShareQueue::pop()
{
    if (m_byStartTag.empty())
        return std::nullopt;
    Flow &flow = *m_byStartTag.begin()->m_flow;
    removeFromIndexes(flow);
    m_virtualTime = flow.m_startTag;
    flow.m_startTag += 1.0 / flow.m_share;
    return extract(flow, flow.m_requests.begin()->first);
}

std::optional<QueuedRequest> FairShareQueue::remove(const RequestId &id)
{
    const auto found = m_locations.find(id);
    if (found == m_locations.end())
        return std::nullopt;
    const Location location = found->second;
    removeFromIndexes(*location.m_flow);
    return extract(*location.m_flow, location.m_position);
}

std::size_t FairShareQueue::aheadOf(const QueuedRequest &request) const
{
    const Flow *flow = findFlow(request.m_workspace);
    const double share = shareOf(request.m_workspace);
    const std::size_t ownRequests = flow ? flow->m_requests.size() : 0;
    const bool hasRequests = ownRequests > 0;
    const double otherShares = static_cast<double>(m_queuedShares) - (hasRequests ? share : 0);
    const double requestsAhead =
        static_cast<double>(ownRequests) + std::ceil((ownRequests + 1) * otherShares / share);
    return std::min(size(), static_cast<std::size_t>(requestsAhead));
}

std::optional<RequestId> FairShareQueue::victimFor(const QueuedRequest &request) const
{
    if (m_byBacklog.empty())
        return std::nullopt;
    const Flow *ownFlow = findFlow(request.m_workspace);
    const Flow *longestFlow = m_byBacklog.rbegin()->m_flow;
    const auto &[lastPosition, lastRequest] = *longestFlow->m_requests.rbegin();
    if (longestFlow == ownFlow) {
        return lastPosition.m_invertedPriority > invertedPriority(request)
                   ? std::optional(lastRequest.m_id)
                   : std::nullopt;
    }
    const std::size_t ownRequests = ownFlow ? ownFlow->m_requests.size() : 0;
    const double ownBacklog = normalizedBacklog(ownRequests + 1, shareOf(request.m_workspace));
    if (normalizedBacklog(longestFlow->m_requests.size(), longestFlow->m_share) <= ownBacklog)
        return std::nullopt;
    return lastRequest.m_id;
}

std::uint32_t FairShareQueue::shareOf(const WorkspaceName &workspace) const
{
    const auto found = m_shares.find(workspace);
    return found == m_shares.end() ? 1 : found->second;
}

FairShareQueue::Flow &FairShareQueue::findOrAddFlow(const WorkspaceName &workspace)
{
    const auto [flow, isAdded] = m_flows.try_emplace(workspace);
    if (isAdded)
        flow->second.m_share = shareOf(workspace);
    return flow->second;
}

const FairShareQueue::Flow *FairShareQueue::findFlow(const WorkspaceName &workspace) const
{
    const auto found = m_flows.find(workspace);
    return found == m_flows.end() ? nullptr : &found->second;
}

void FairShareQueue::addToIndexes(Flow &flow)
{
    m_byStartTag.insert({flow.m_startTag, flow.m_sequence, &flow});
    m_byBacklog.insert(
        {normalizedBacklog(flow.m_requests.size(), flow.m_share), flow.m_sequence, &flow});
    m_queuedShares += flow.m_share;
}

void FairShareQueue::removeFromIndexes(Flow &flow)
{
    m_byStartTag.erase({flow.m_startTag, flow.m_sequence, &flow});
    m_byBacklog.erase(
        {normalizedBacklog(flow.m_requests.size(), flow.m_share), flow.m_sequence, &flow});
    m_queuedShares -= flow.m_share;
}

QueuedRequest FairShareQueue::extract(Flow &flow, const Position &position)
{
    const auto found = flow.m_requests.find(position);
    QueuedRequest request = std::move(found->second);
    flow.m_requests.erase(found);
    m_locations.erase(request.m_id);
    if (!flow.m_requests.empty())
        addToIndexes(flow);
    else
        m_idleByStartTag[flow.m_startTag].push_back(request.m_workspace);
    removeIdleFlows();
    return request;
}

// An empty queue ends the busy period: no workspace is ahead of its share any more.
void FairShareQueue::removeIdleFlows()
{
    if (m_locations.empty()) {
        m_flows.clear();
        m_idleByStartTag.clear();
        m_virtualTime = 0;
        return;
    }
    while (!m_idleByStartTag.empty() && m_idleByStartTag.begin()->first <= m_virtualTime) {
        for (const WorkspaceName &workspace : m_idleByStartTag.begin()->second) {
            const auto found = m_flows.find(workspace);
            if (found != m_flows.end() && found->second.m_requests.empty()
                && found->second.m_startTag <= m_virtualTime)
                m_flows.erase(found);
        }
        m_idleByStartTag.erase(m_idleByStartTag.begin());
    }
}

} // namespace burdockhead
