#include "referencefairsharequeue.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace burdockhead {

void ReferenceFairShareQueue::setShares(const std::vector<Workspace> &workspaces)
{
    m_shares.clear();
    for (const Workspace &workspace : workspaces)
        m_shares[workspace.m_name] = workspace.m_share;
}

void ReferenceFairShareQueue::push(const QueuedRequest &request)
{
    ++m_lastSequence;
    if (requestCount(request.m_workspace) == 0) {
        double &startTag = m_startTags[request.m_workspace];
        startTag = std::max(startTag, m_virtualTime);
        m_sequences[request.m_workspace] = m_lastSequence;
    }
    m_requests.push_back(request);
}

std::optional<QueuedRequest> ReferenceFairShareQueue::pop()
{
    if (m_requests.empty())
        return std::nullopt;
    std::size_t best = 0;
    const auto key = [this](const QueuedRequest &request) {
        return std::make_tuple(m_startTags.at(request.m_workspace),
                               m_sequences.at(request.m_workspace),
                               -static_cast<int>(request.m_priority));
    };
    for (std::size_t index = 1; index < m_requests.size(); ++index) {
        if (key(m_requests[index]) < key(m_requests[best]))
            best = index;
    }
    const WorkspaceName workspace = m_requests[best].m_workspace;
    m_virtualTime = m_startTags[workspace];
    m_startTags[workspace] += 1.0 / share(workspace);
    return extract(best);
}

std::optional<QueuedRequest> ReferenceFairShareQueue::remove(const RequestId &id)
{
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
        if (m_requests[index].m_id == id)
            return extract(index);
    }
    return std::nullopt;
}

std::size_t ReferenceFairShareQueue::aheadOf(const QueuedRequest &request) const
{
    std::set<WorkspaceName> otherWorkspaces;
    for (const QueuedRequest &queued : m_requests)
        otherWorkspaces.insert(queued.m_workspace);
    otherWorkspaces.erase(request.m_workspace);
    double otherShares = 0;
    for (const WorkspaceName &other : otherWorkspaces)
        otherShares += share(other);
    const std::size_t ownRequests = requestCount(request.m_workspace);
    const double otherStarts =
        std::ceil((ownRequests + 1) * otherShares / share(request.m_workspace));
    return std::min(m_requests.size(), ownRequests + static_cast<std::size_t>(otherStarts));
}

std::optional<RequestId> ReferenceFairShareQueue::victimFor(const QueuedRequest &request) const
{
    const QueuedRequest *victim = nullptr;
    const auto key = [this](const QueuedRequest &queued) {
        return std::make_tuple(normalizedBacklog(queued.m_workspace),
                               m_sequences.at(queued.m_workspace),
                               -static_cast<int>(queued.m_priority));
    };
    for (const QueuedRequest &queued : m_requests) {
        if (!victim || key(queued) >= key(*victim))
            victim = &queued;
    }
    if (!victim)
        return std::nullopt;
    const double ownBacklog = (requestCount(request.m_workspace) + 1) / share(request.m_workspace);
    const bool isEvicted = victim->m_workspace == request.m_workspace
                               ? victim->m_priority < request.m_priority
                               : normalizedBacklog(victim->m_workspace) > ownBacklog;
    return isEvicted ? std::optional(victim->m_id) : std::nullopt;
}

double ReferenceFairShareQueue::share(const WorkspaceName &workspace) const
{
    const auto found = m_shares.find(workspace);
    return found == m_shares.end() ? 1 : found->second;
}

std::size_t ReferenceFairShareQueue::requestCount(const WorkspaceName &workspace) const
{
    return std::ranges::count(m_requests, workspace, &QueuedRequest::m_workspace);
}

double ReferenceFairShareQueue::normalizedBacklog(const WorkspaceName &workspace) const
{
    return static_cast<double>(requestCount(workspace)) / share(workspace);
}

QueuedRequest ReferenceFairShareQueue::extract(std::size_t index)
{
    QueuedRequest request = m_requests[index];
    m_requests.erase(m_requests.begin() + static_cast<std::ptrdiff_t>(index));
    if (m_requests.empty()) {
        m_startTags.clear();
        m_virtualTime = 0;
    }
    return request;
}

} // namespace burdockhead
