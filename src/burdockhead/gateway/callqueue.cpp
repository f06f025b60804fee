#include <burdockhead/gateway/callqueue.h>

#include <algorithm>
#include <iterator>

namespace burdockhead {

CallQueue::SortKey CallQueue::onTimeKey(const QueuedCall &call)
{
    return {call.m_priority, call.m_arrivedAt, call.m_id};
}

CallQueue::SortKey CallQueue::lateKey(const QueuedCall &call)
{
    return {call.m_priority, call.m_deadline, call.m_id};
}

void CallQueue::push(const QueuedCall &call)
{
    m_calls.emplace(call.m_id, call);
    m_onTime.emplace(onTimeKey(call), call.m_id);
    m_latestStarts.emplace(call.m_latestOnTimeStart, call.m_id);
}

void CallQueue::moveLateCalls(TimePoint now)
{
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        const QueuedCall &call = m_calls.at(m_latestStarts.begin()->second);
        m_latestStarts.erase(m_latestStarts.begin());
        m_onTime.erase(onTimeKey(call));
        m_late.emplace(lateKey(call), call.m_id);
    }
}

std::optional<QueuedCall> CallQueue::pop(TimePoint now)
{
    moveLateCalls(now);
    if (m_calls.empty())
        return std::nullopt;
    CallId next = 0;
    if (m_onTime.empty()) {
        next = m_late.begin()->second;
    } else if (m_late.empty()) {
        next = m_onTime.begin()->second;
    } else {
        // The newest of the most urgent: in order of arrival, each call would start when it's about
        // to become late, with little chance to finish in time.
        const SortKey end = {m_onTime.begin()->first.m_priority + 1, {}, 0};
        next = std::prev(m_onTime.lower_bound(end))->second;
    }
    const QueuedCall call = m_calls.at(next);
    remove(next);
    return call;
}

bool CallQueue::remove(CallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return false;
    const QueuedCall call = found->second;
    m_calls.erase(found);
    m_onTime.erase(onTimeKey(call));
    m_late.erase(lateKey(call));
    const auto [first, last] = m_latestStarts.equal_range(call.m_latestOnTimeStart);
    const auto latestStart =
        std::find_if(first, last, [&](const auto &item) { return item.second == id; });
    if (latestStart != last)
        m_latestStarts.erase(latestStart);
    return true;
}

std::size_t CallQueue::countAhead(const QueuedCall &call, TimePoint now)
{
    moveLateCalls(now);
    const auto before = m_onTime.lower_bound(onTimeKey(call));
    return static_cast<std::size_t>(std::distance(m_onTime.begin(), before));
}

} // namespace burdockhead
