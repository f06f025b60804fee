#include <burdockhead/gateway/callqueue.h>

#include <algorithm>
#include <iterator>

namespace burdockhead {

CallQueue::SortKey CallQueue::onTimeKey(const QueuedCall &waiter)
{
    return {waiter.m_priority, waiter.m_arrivedAt, waiter.m_id};
}

CallQueue::SortKey CallQueue::lateKey(const QueuedCall &waiter)
{
    return {waiter.m_priority, waiter.m_deadline, waiter.m_id};
}

void CallQueue::push(const QueuedCall &waiter)
{
    m_calls.emplace(waiter.m_id, waiter);
    m_onTime.emplace(onTimeKey(waiter), waiter.m_id);
    m_latestStarts.emplace(waiter.m_latestOnTimeStart, waiter.m_id);
}

void CallQueue::moveLateCalls(TimePoint now)
{
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        const QueuedCall &waiter = m_calls.at(m_latestStarts.begin()->second);
        m_latestStarts.erase(m_latestStarts.begin());
        m_onTime.erase(onTimeKey(waiter));
        m_late.emplace(lateKey(waiter), waiter.m_id);
    }
}

std::optional<QueuedCall> CallQueue::pop(TimePoint now)
{
    moveLateCalls(now);
    if (m_calls.empty())
        return std::nullopt;
    QueuedCallId next = 0;
    if (m_onTime.empty()) {
        next = m_late.begin()->second;
    } else if (m_late.empty()) {
        next = m_onTime.begin()->second;
    } else {
        // The newest of the most urgent: in order of arrival each would start when it is about to
        // be late, and with little chance to end in time.
        const SortKey end = {m_onTime.begin()->first.m_priority + 1, {}, 0};
        next = std::prev(m_onTime.lower_bound(end))->second;
    }
    const QueuedCall waiter = m_calls.at(next);
    remove(next);
    return waiter;
}

bool CallQueue::remove(QueuedCallId id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return false;
    const QueuedCall waiter = found->second;
    m_calls.erase(found);
    m_onTime.erase(onTimeKey(waiter));
    m_late.erase(lateKey(waiter));
    const auto [first, last] = m_latestStarts.equal_range(waiter.m_latestOnTimeStart);
    const auto turn =
        std::find_if(first, last, [&](const auto &item) { return item.second == id; });
    if (turn != last)
        m_latestStarts.erase(turn);
    return true;
}

std::size_t CallQueue::countAhead(const QueuedCall &waiter, TimePoint now)
{
    moveLateCalls(now);
    const auto before = m_onTime.lower_bound(onTimeKey(waiter));
    return static_cast<std::size_t>(std::distance(m_onTime.begin(), before));
}

} // namespace burdockhead
