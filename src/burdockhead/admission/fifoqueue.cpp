#include <burdockhead/admission/fifoqueue.h>

namespace burdockhead {

void FifoQueue::setShares(const std::vector<Workspace> &)
{}

void FifoQueue::push(const QueuedRequest &request)
{
    m_byId[request.m_id] = m_requests.insert(m_requests.end(), request);
}

std::optional<QueuedRequest> FifoQueue::pop()
{
    if (m_requests.empty())
        return std::nullopt;
    return remove(m_requests.front().m_id);
}

std::optional<QueuedRequest> FifoQueue::remove(const RequestId &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return std::nullopt;
    QueuedRequest request = *found->second;
    m_requests.erase(found->second);
    m_byId.erase(found);
    return request;
}

std::size_t FifoQueue::aheadOf(const QueuedRequest &) const
{
    return m_requests.size();
}

std::optional<RequestId> FifoQueue::victimFor(const QueuedRequest &) const
{
    return std::nullopt;
}

} // namespace burdockhead
