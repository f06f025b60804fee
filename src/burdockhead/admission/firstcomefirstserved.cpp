#include <burdockhead/admission/firstcomefirstserved.h>

namespace burdockhead {

void FirstComeFirstServed::setShares(const std::vector<Workspace> &)
{}

void FirstComeFirstServed::push(const QueuedRequest &request)
{
    m_byId[request.m_id] = m_line.insert(m_line.end(), request);
}

std::optional<QueuedRequest> FirstComeFirstServed::pop()
{
    if (m_line.empty())
        return std::nullopt;
    return remove(m_line.front().m_id);
}

std::optional<QueuedRequest> FirstComeFirstServed::remove(const RequestId &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return std::nullopt;
    QueuedRequest request = *found->second;
    m_line.erase(found->second);
    m_byId.erase(found);
    return request;
}

std::size_t FirstComeFirstServed::aheadOf(const QueuedRequest &) const
{
    return m_line.size();
}

std::optional<RequestId> FirstComeFirstServed::victimFor(const QueuedRequest &) const
{
    return std::nullopt;
}

} // namespace burdockhead
