#pragma once

#include <burdockhead/admission/requestqueue.h>

#include <map>
#include <vector>

namespace burdockhead {

// The order of a fair share queue, worked out by looking at everything each time.
class NaiveFairShare
{
public:
    void setShares(const std::vector<Workspace> &workspaces);
    void push(const QueuedRequest &request);
    std::optional<QueuedRequest> pop();
    std::optional<QueuedRequest> remove(const RequestId &id);
    std::size_t size() const { return m_waiting.size(); }
    std::size_t aheadOf(const QueuedRequest &request) const;
    std::optional<RequestId> victimFor(const QueuedRequest &request) const;

private:
    double share(const WorkspaceName &workspace) const;
    std::size_t waitingOf(const WorkspaceName &workspace) const;
    double lengthOf(const WorkspaceName &workspace) const;
    QueuedRequest take(std::size_t index);

    std::map<WorkspaceName, std::uint32_t> m_shares;
    std::map<WorkspaceName, double> m_starts;
    std::map<WorkspaceName, std::uint64_t> m_since; // When each began to wait.
    std::vector<QueuedRequest> m_waiting;           // In order of arrival.
    double m_virtualTime = 0;
    std::uint64_t m_pushes = 0;
};

} // namespace burdockhead
