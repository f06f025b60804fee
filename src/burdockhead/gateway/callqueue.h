#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace burdockhead {

// Names a request that waits.
using QueuedCallId = std::uint64_t;

// What the order of waiting requests depends on.
struct QueuedCall
{
    QueuedCallId m_id = 0;
    std::uint32_t m_priority = 0; // 0 is the most urgent.
    TimePoint m_arrivedAt;
    TimePoint m_latestOnTimeStart; // A start after this comes too late for the objective.
    TimePoint m_deadline;          // When its client needs an answer no more.

    friend bool operator==(const QueuedCall &, const QueuedCall &) = default;
};

// The requests that wait for one service. Those that can still be on time go first, by
// priority and arrival; the others follow by priority and deadline, so that a client who has come
// back, and won't once more, goes before one who can. While some are late, the newest of those on
// time goes first. Answers the load pattern of a burst over capacity or of an outage: in
// plain order of arrival one backlog makes every later request late.
class CallQueue
{
public:
    void push(const QueuedCall &waiter);

    // Takes the next one out; none when nobody waits.
    std::optional<QueuedCall> pop(TimePoint now);

    // Takes one out; false if it doesn't wait.
    bool remove(QueuedCallId id);

    // Those that would go before a request that came now.
    std::size_t countAhead(const QueuedCall &waiter, TimePoint now);

    std::size_t size() const { return m_calls.size(); }

private:
    struct SortKey
    {
        std::uint32_t m_priority = 0;
        TimePoint m_time;
        QueuedCallId m_id = 0;

        friend auto operator<=>(const SortKey &, const SortKey &) = default;
    };

    static SortKey onTimeKey(const QueuedCall &waiter);
    static SortKey lateKey(const QueuedCall &waiter);
    void moveLateCalls(TimePoint now);

    std::map<QueuedCallId, QueuedCall> m_calls;
    std::map<SortKey, QueuedCallId> m_onTime;
    std::map<SortKey, QueuedCallId> m_late;
    std::multimap<TimePoint, QueuedCallId> m_latestStarts;
};

} // namespace burdockhead
