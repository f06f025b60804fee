#pragma once

#include <burdockhead/gateway/callqueue.h>
#include <burdockhead/gateway/servicecapacity.h>
#include <burdockhead/gateway/serviceretrybudget.h>
#include <burdockhead/gateway/slidingwindowcounter.h>

namespace burdockhead {

// Limits the concurrent requests of one service through this gateway, queues those above the limit,
// and holds the retry budget. Protects against a burst above capacity (the limit), against ranks in
// lock-step whose steps have become slow for all streams (the slow limit), and against a stalled
// group that refuses everything (the pause: sends nothing for a short time after repeated
// refusals).
class ServiceLimiter
{
public:
    explicit ServiceLimiter(const ServiceRetryBudgetOptions &options)
        : m_retryBudget(options)
    {}

    void setCapacity(const ServiceCapacity &capacity) { m_capacity = capacity; }

    // Returns this gateway's concurrency limit, in general and while events arrive too slowly.
    std::size_t limit() const { return shareOf(m_capacity.m_requests); }
    std::size_t slowLimit() const { return shareOf(m_capacity.m_slowRequests); }

    // Records the time between two events of a stream; `maxInterval` is the longest that is still
    // in time.
    void recordEventInterval(Duration interval, Duration maxInterval, TimePoint now);

    // Records a request of a client.
    void recordArrival(TimePoint now);

    // Returns the requests of clients in the last ten seconds.
    std::size_t recentArrivals(TimePoint now) { return m_recentArrivals.count(now); }

    // Returns whether a request may be sent now.
    bool mayStart(TimePoint now) const;

    // Returns the delay after which a client that is refused now should retry, without jitter; a
    // place is due no sooner than after `wait`.
    Milliseconds retryDelay(Duration wait) const;

    void onStarted() { ++m_running; }

    // Registers the end of a request that took that time at the endpoint.
    void onEnded(Duration elapsed, bool isSuccess);

    // Registers that an endpoint refused a request without running it.
    void onRefused(TimePoint now);

    // Estimates the queueing time of a request with that many ahead, from recent service times.
    Duration expectedWait(std::size_t callsAhead) const;

    // Records the time until the first event of streams. Ends a pause, since the service accepts
    // requests again.
    void onFirstEvent(Duration elapsed, TimePoint now);
    Duration averageFirstEventTime() const { return m_averageFirstEventTime; }

    // Returns the smoothed time that a request spends at its endpoint.
    Duration averageServiceTime() const { return m_averageServiceTime; }

    std::size_t running() const { return m_running; }

    // Returns the requests in flight or queued.
    std::size_t requests() const { return m_running + m_queue.size(); }

    CallQueue &queue() { return m_queue; }
    ServiceRetryBudget &retryBudget() { return m_retryBudget; }

private:
    std::size_t shareOf(double requests) const;

    ServiceCapacity m_capacity;
    std::size_t m_running = 0;
    double m_averageEventInterval = 0; // Moving average, as a fraction of the longest interval.
    TimePoint m_lastEventAt;
    unsigned m_consecutiveRefusals = 0;
    TimePoint m_pausedUntil = TimePoint::min();
    Duration m_averageServiceTime{0};
    Duration m_averageFirstEventTime{0};
    SlidingWindowCounter m_recentArrivals{Milliseconds(10000)};
    CallQueue m_queue;
    ServiceRetryBudget m_retryBudget;
};

} // namespace burdockhead
