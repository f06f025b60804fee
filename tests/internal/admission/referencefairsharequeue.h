#pragma once

#include <burdockhead/admission/requestqueue.h>

#include <map>
#include <vector>

namespace burdockhead {

// Reference implementation of the fair share queue: scans all requests on each operation.
class ReferenceFairShareQueue
{
public:
    void setShares(const std::vector<Workspace> &workspaces);
    void push(const QueuedRequest &request);
    std::optional<QueuedRequest> pop();
    std::optional<QueuedRequest> remove(const RequestId &id);
    std::size_t size() const { return m_requests.size(); }
    std::size_t aheadOf(const QueuedRequest &request) const;
    std::optional<RequestId> victimFor(const QueuedRequest &request) const;

private:
    double share(const WorkspaceName &workspace) const;
    std::size_t requestCount(const WorkspaceName &workspace) const;
    double normalizedBacklog(const WorkspaceName &workspace) const;
    QueuedRequest extract(std::size_t index);

    std::map<WorkspaceName, std::uint32_t> m_shares;
    std::map<WorkspaceName, double> m_startTags;
    std::map<WorkspaceName, std::uint64_t> m_sequences; // When each workspace became non-empty.
    std::vector<QueuedRequest> m_requests;              // In order of arrival.
    double m_virtualTime = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace burdockhead
