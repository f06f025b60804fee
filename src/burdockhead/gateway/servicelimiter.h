#pragma once

#include <burdockhead/gateway/callqueue.h>
#include <burdockhead/gateway/serviceretrybudget.h>

namespace burdockhead {

// How many requests of one service a gateway has at its endpoints at a time, who waits, and
// how many further attempts it makes. Answers the load patterns of a burst over capacity
// (the window), of ranks in lock-step whose steps have become slow for all streams (the slow
// window) and of a group that has stalled and refuses everything (the pause).
class ServiceLimiter
{
public:
    explicit ServiceLimiter(const ServiceRetryBudgetOptions &options)
        : m_retryBudget(options)
    {}

    // Requests that may be at the endpoints at a time, and those that may be while events come
    // too slowly.
    void setLimits(std::size_t window, std::size_t slowWindow)
    {
        m_limit = window;
        m_slowLimit = slowWindow;
    }
    std::size_t limit() const { return m_limit; }

    // A stream's next event came after that time; `longest` is the longest pause that is still
    // in time.
    void recordEventInterval(Duration pause, Duration longest, TimePoint now);

    // Whether a request may be sent now.
    bool mayStart(TimePoint now) const;

    // When a request that is refused now should come back.
    Milliseconds retryAfter() const;

    void onStarted() { ++m_running; }

    // A request that was sent has ended; `took` is the time that it was at the endpoint.
    void onEnded(Duration took, bool isServed);

    // An endpoint refused a request without running it.
    void onRefused(TimePoint now);

    // How long a request that came now would wait for its turn, from the last requests' times.
    Duration expectedWait(std::size_t ahead) const;

    // The time from sending a request until the first byte of its answer came. Ends a pause:
    // what the service answers, it has taken.
    void onFirstByte(Duration took, TimePoint now);
    Duration averageFirstByteTime() const { return m_averageFirstByteTime; }

    // How long a request usually is at its endpoint.
    Duration averageServiceTime() const { return m_averageServiceTime; }

    std::size_t running() const { return m_running; }

    CallQueue &queue() { return m_queue; }
    ServiceRetryBudget &retryBudget() { return m_retryBudget; }

private:
    std::size_t m_limit = 1;
    std::size_t m_slowLimit = 1;
    std::size_t m_running = 0;
    double m_averageEventInterval = 0; // Late events' mean pause, as a part of the longest.
    TimePoint m_lastEventAt;
    unsigned m_consecutiveRefusals = 0;
    TimePoint m_pausedUntil = TimePoint::min();
    Duration m_averageServiceTime{0};
    Duration m_averageFirstByteTime{0};
    CallQueue m_queue;
    ServiceRetryBudget m_retryBudget;
};

} // namespace burdockhead
