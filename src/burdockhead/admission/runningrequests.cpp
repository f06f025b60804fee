#include <burdockhead/admission/runningrequests.h>

#include <algorithm>

namespace burdockhead {

void RunningRequests::add(const RunningRequest &request)
{
    m_requests[request.m_id] = {request, ++m_lastStartOrder, false};
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

std::vector<RequestId> RunningRequests::cancelExcess(std::size_t limit)
{
    std::vector<TrackedRequest *> cancellable;
    std::size_t remaining = 0;
    for (auto &[id, tracked] : m_requests) {
        if (tracked.m_isCancelling)
            continue;
        ++remaining;
        if (tracked.m_request.m_repeatable)
            cancellable.push_back(&tracked);
    }
    std::ranges::sort(cancellable, std::greater<>(), &TrackedRequest::m_startOrder);
    std::vector<RequestId> cancelled;
    for (TrackedRequest *tracked : cancellable) {
        if (remaining <= limit)
            break;
        tracked->m_isCancelling = true;
        cancelled.push_back(tracked->m_request.m_id);
        --remaining;
    }
    return cancelled;
}

} // namespace burdockhead
