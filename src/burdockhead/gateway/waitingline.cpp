#include <burdockhead/gateway/waitingline.h>

#include <algorithm>
#include <iterator>

namespace burdockhead {

WaitingLine::Order WaitingLine::orderOnTime(const Waiter &waiter)
{
    return {waiter.m_priority, waiter.m_arrivedAt, waiter.m_id};
}

WaitingLine::Order WaitingLine::orderLate(const Waiter &waiter)
{
    return {waiter.m_priority, waiter.m_givesUpAt, waiter.m_id};
}

void WaitingLine::push(const Waiter &waiter)
{
    m_waiters.emplace(waiter.m_id, waiter);
    m_onTime.emplace(orderOnTime(waiter), waiter.m_id);
    m_turnsLate.emplace(waiter.m_onTimeUntil, waiter.m_id);
}

void WaitingLine::moveLate(TimePoint now)
{
    while (!m_turnsLate.empty() && m_turnsLate.begin()->first < now) {
        const Waiter &waiter = m_waiters.at(m_turnsLate.begin()->second);
        m_turnsLate.erase(m_turnsLate.begin());
        m_onTime.erase(orderOnTime(waiter));
        m_late.emplace(orderLate(waiter), waiter.m_id);
    }
}

std::optional<Waiter> WaitingLine::pop(TimePoint now)
{
    moveLate(now);
    if (m_waiters.empty())
        return std::nullopt;
    WaiterId next = 0;
    if (m_onTime.empty()) {
        next = m_late.begin()->second;
    } else if (m_late.empty()) {
        next = m_onTime.begin()->second;
    } else {
        // The newest of the most urgent: in order of arrival each would start when it is about to
        // be late, and with little chance to end in time.
        const Order end = {m_onTime.begin()->first.m_priority + 1, {}, 0};
        next = std::prev(m_onTime.lower_bound(end))->second;
    }
    const Waiter waiter = m_waiters.at(next);
    remove(next);
    return waiter;
}

bool WaitingLine::remove(WaiterId id)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end())
        return false;
    const Waiter waiter = found->second;
    m_waiters.erase(found);
    m_onTime.erase(orderOnTime(waiter));
    m_late.erase(orderLate(waiter));
    const auto [first, last] = m_turnsLate.equal_range(waiter.m_onTimeUntil);
    const auto turn =
        std::find_if(first, last, [&](const auto &item) { return item.second == id; });
    if (turn != last)
        m_turnsLate.erase(turn);
    return true;
}

std::size_t WaitingLine::ahead(const Waiter &waiter, TimePoint now)
{
    moveLate(now);
    const auto before = m_onTime.lower_bound(orderOnTime(waiter));
    return static_cast<std::size_t>(std::distance(m_onTime.begin(), before));
}

} // namespace burdockhead
