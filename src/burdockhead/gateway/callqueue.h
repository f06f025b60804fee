#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace burdockhead {

// Identifies a client's request in this gateway.
using CallId = std::uint64_t;

// Data that the order of queued calls depends on.
struct QueuedCall
{
    CallId m_id = 0;
    std::uint32_t m_priority = 0; // 0 is the most urgent.
    TimePoint m_arrivedAt;
    TimePoint m_latestOnTimeStart; // A later start misses the objective.
    TimePoint m_deadline;          // When the client's deadline passes.

    friend bool operator==(const QueuedCall &, const QueuedCall &) = default;
};

// Queue of the calls of one service. Calls that can still meet their objective go first: by
// priority, then the oldest first, or the newest first while any queued call is late. The late ones
// follow by priority and deadline, so that a client on its last retry goes before one that can
// retry again. Protects against a burst above capacity or an outage, where a FIFO backlog makes
// every later call late.
class CallQueue
{
public:
    void push(const QueuedCall &call);

    // Removes and returns the next call; none if the queue is empty.
    std::optional<QueuedCall> pop(TimePoint now);

    // Removes a call; false if it isn't queued.
    bool remove(CallId id);

    // Returns the number of on-time calls that would go before this one.
    std::size_t countAhead(const QueuedCall &call, TimePoint now);

    std::size_t size() const { return m_calls.size(); }

private:
    struct SortKey
    {
        std::uint32_t m_priority = 0;
        TimePoint m_time;
        CallId m_id = 0;

        friend auto operator<=>(const SortKey &, const SortKey &) = default;
    };

    static SortKey onTimeKey(const QueuedCall &call);
    static SortKey lateKey(const QueuedCall &call);
    void moveLateCalls(TimePoint now);

    std::map<CallId, QueuedCall> m_calls;
    std::map<SortKey, CallId> m_onTime;
    std::map<SortKey, CallId> m_late;
    std::multimap<TimePoint, CallId> m_latestStarts;
};

} // namespace burdockhead
