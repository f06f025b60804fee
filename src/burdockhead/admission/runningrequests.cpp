#include <burdockhead/admission/runningrequests.h>

#include <algorithm>

namespace burdockhead {

void RunningRequests::add(const RunningRequest &request)
{
    m_requests[request.m_id] = {request, ++m_lastOrder, false};
}

std::optional<RunningRequest> RunningRequests::remove(const RequestId &id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return std::nullopt;
    RunningRequest request = found->second.m_request;
    m_requests.erase(found);
    return request;
}

std::vector<RequestId> RunningRequests::cancelBeyond(std::size_t limit)
{
    std::vector<Held *> movable;
    std::size_t staying = 0;
    for (auto &[id, held] : m_requests) {
        if (held.m_cancelling)
            continue;
        ++staying;
        if (held.m_request.m_repeatable)
            movable.push_back(&held);
    }
    std::ranges::sort(movable, std::greater<>(), &Held::m_order);
    std::vector<RequestId> chosen;
    for (Held *held : movable) {
        if (staying <= limit)
            break;
        held->m_cancelling = true;
        chosen.push_back(held->m_request.m_id);
        --staying;
    }
    return chosen;
}

} // namespace burdockhead
