#pragma once

#include <burdockhead/admission/requestqueue.h>

#include <list>
#include <unordered_map>

namespace burdockhead {

// A first-in first-out queue without limit, shares, priorities or early refusals; the baseline
// for comparison.
class FifoQueue : public RequestQueue
{
public:
    void setShares(const std::vector<Workspace> &workspaces) override;
    void push(const QueuedRequest &request) override;
    std::optional<QueuedRequest> pop() override;
    std::optional<QueuedRequest> remove(const RequestId &id) override;
    std::size_t size() const override { return m_requests.size(); }
    std::size_t aheadOf(const QueuedRequest &request) const override;
    std::optional<RequestId> victimFor(const QueuedRequest &request) const override;
    bool isBounded() const override { return false; }

private:
    std::list<QueuedRequest> m_requests;
    std::unordered_map<RequestId, std::list<QueuedRequest>::iterator> m_byId;
};

} // namespace burdockhead
