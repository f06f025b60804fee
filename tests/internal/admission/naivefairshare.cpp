#include "naivefairshare.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace burdockhead {

void NaiveFairShare::setShares(const std::vector<Workspace> &workspaces)
{
    m_shares.clear();
    for (const Workspace &workspace : workspaces)
        m_shares[workspace.m_name] = workspace.m_share;
}

void NaiveFairShare::push(const QueuedRequest &request)
{
    ++m_pushes;
    if (waitingOf(request.m_workspace) == 0) {
        double &start = m_starts[request.m_workspace];
        start = std::max(start, m_virtualTime);
        m_since[request.m_workspace] = m_pushes;
    }
    m_waiting.push_back(request);
}

std::optional<QueuedRequest> NaiveFairShare::pop()
{
    if (m_waiting.empty())
        return std::nullopt;
    std::size_t best = 0;
    const auto rank = [this](const QueuedRequest &request) {
        return std::make_tuple(m_starts.at(request.m_workspace), m_since.at(request.m_workspace),
                               -static_cast<int>(request.m_priority));
    };
    for (std::size_t index = 1; index < m_waiting.size(); ++index) {
        if (rank(m_waiting[index]) < rank(m_waiting[best]))
            best = index;
    }
    const WorkspaceName workspace = m_waiting[best].m_workspace;
    m_virtualTime = m_starts[workspace];
    m_starts[workspace] += 1.0 / share(workspace);
    return take(best);
}

std::optional<QueuedRequest> NaiveFairShare::remove(const RequestId &id)
{
    for (std::size_t index = 0; index < m_waiting.size(); ++index) {
        if (m_waiting[index].m_id == id)
            return take(index);
    }
    return std::nullopt;
}

std::size_t NaiveFairShare::aheadOf(const QueuedRequest &request) const
{
    std::set<WorkspaceName> others;
    for (const QueuedRequest &waiting : m_waiting)
        others.insert(waiting.m_workspace);
    others.erase(request.m_workspace);
    double shares = 0;
    for (const WorkspaceName &other : others)
        shares += share(other);
    const std::size_t own = waitingOf(request.m_workspace);
    const double turns = std::ceil((own + 1) * shares / share(request.m_workspace));
    return std::min(m_waiting.size(), own + static_cast<std::size_t>(turns));
}

std::optional<RequestId> NaiveFairShare::victimFor(const QueuedRequest &request) const
{
    const QueuedRequest *victim = nullptr;
    const auto rank = [this](const QueuedRequest &waiting) {
        return std::make_tuple(lengthOf(waiting.m_workspace), m_since.at(waiting.m_workspace),
                               -static_cast<int>(waiting.m_priority));
    };
    for (const QueuedRequest &waiting : m_waiting) {
        if (!victim || rank(waiting) >= rank(*victim))
            victim = &waiting;
    }
    if (!victim)
        return std::nullopt;
    const double own = (waitingOf(request.m_workspace) + 1) / share(request.m_workspace);
    const bool gives = victim->m_workspace == request.m_workspace
                           ? victim->m_priority < request.m_priority
                           : lengthOf(victim->m_workspace) > own;
    return gives ? std::optional(victim->m_id) : std::nullopt;
}

double NaiveFairShare::share(const WorkspaceName &workspace) const
{
    const auto found = m_shares.find(workspace);
    return found == m_shares.end() ? 1 : found->second;
}

std::size_t NaiveFairShare::waitingOf(const WorkspaceName &workspace) const
{
    return std::ranges::count(m_waiting, workspace, &QueuedRequest::m_workspace);
}

double NaiveFairShare::lengthOf(const WorkspaceName &workspace) const
{
    return static_cast<double>(waitingOf(workspace)) / share(workspace);
}

QueuedRequest NaiveFairShare::take(std::size_t index)
{
    QueuedRequest request = m_waiting[index];
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
    if (m_waiting.empty()) {
        m_starts.clear();
        m_virtualTime = 0;
    }
    return request;
}

} // namespace burdockhead
