#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace burdockhead {

// Names a request that waits.
using WaiterId = std::uint64_t;

// What the order of waiting requests depends on.
struct Waiter
{
    WaiterId m_id = 0;
    std::uint32_t m_priority = 0; // 0 is the most urgent.
    TimePoint m_arrivedAt;
    TimePoint m_onTimeUntil; // A start after this comes too late for the objective.
    TimePoint m_givesUpAt;   // When its client needs an answer no more.

    friend bool operator==(const Waiter &, const Waiter &) = default;
};

// The requests that wait for one service. Those that can still be on time go first, by
// priority and arrival; the others follow by priority and deadline, so that a client who has come
// back, and won't once more, goes before one who can. While some are late, the newest of those on
// time goes first. Answers the load pattern of a burst over capacity or of an outage: in
// plain order of arrival one backlog makes every later request late.
class WaitingLine
{
public:
    void push(const Waiter &waiter);

    // Takes the next one out; none when nobody waits.
    std::optional<Waiter> pop(TimePoint now);

    // Takes one out; false if it doesn't wait.
    bool remove(WaiterId id);

    // Those that would go before a request that came now.
    std::size_t ahead(const Waiter &waiter, TimePoint now);

    std::size_t size() const { return m_waiters.size(); }

private:
    struct Order
    {
        std::uint32_t m_priority = 0;
        TimePoint m_at;
        WaiterId m_id = 0;

        friend auto operator<=>(const Order &, const Order &) = default;
    };

    static Order orderOnTime(const Waiter &waiter);
    static Order orderLate(const Waiter &waiter);
    void moveLate(TimePoint now);

    std::map<WaiterId, Waiter> m_waiters;
    std::map<Order, WaiterId> m_onTime;
    std::map<Order, WaiterId> m_late;
    std::multimap<TimePoint, WaiterId> m_turnsLate;
};

} // namespace burdockhead
