#pragma once

#include <burdockhead/gateway/retryallowance.h>
#include <burdockhead/gateway/waitingline.h>

namespace burdockhead {

// How many requests of one service a gateway has at its endpoints at a time, who waits, and
// how many further attempts it makes. Answers the load patterns of a burst over capacity
// (the window), of ranks in lock-step whose steps have become slow for all streams (the slow
// window) and of a group that has stalled and refuses everything (the pause).
class ServiceGate
{
public:
    explicit ServiceGate(const RetryAllowanceOptions &options)
        : m_retries(options)
    {}

    // Requests that may be at the endpoints at a time, and those that may be while events come
    // too slowly.
    void setWindow(std::size_t window, std::size_t slowWindow)
    {
        m_window = window;
        m_slowWindow = slowWindow;
    }
    std::size_t window() const { return m_window; }

    // A stream's next event came after that time; `longest` is the longest pause that is still
    // in time.
    void noteEventPause(Duration pause, Duration longest, TimePoint now);

    // Whether a request may be sent now.
    bool mayStart(TimePoint now) const;

    // When a request that is refused now should come back.
    Milliseconds comeBackAfter() const;

    void noteStarted() { ++m_running; }

    // A request that was sent has ended; `took` is the time that it was at the endpoint.
    void noteEnded(Duration took, bool isServed);

    // An endpoint refused a request without running it.
    void noteRefused(TimePoint now);

    // How long a request that came now would wait for its turn, from the last requests' times.
    Duration expectedWait(std::size_t ahead) const;

    // The time from sending a request until the first byte of its answer came. Ends a pause:
    // what the service answers, it has taken.
    void noteFirstByte(Duration took, TimePoint now);
    Duration usualFirstByte() const { return m_usualFirstByte; }

    // How long a request usually is at its endpoint.
    Duration usualTime() const { return m_usualTime; }

    std::size_t running() const { return m_running; }

    WaitingLine &line() { return m_line; }
    RetryAllowance &retries() { return m_retries; }

private:
    std::size_t m_window = 1;
    std::size_t m_slowWindow = 1;
    std::size_t m_running = 0;
    double m_eventPause = 0; // Late events' mean pause, as a part of the longest.
    TimePoint m_eventPauseAt;
    unsigned m_refusedInRow = 0;
    TimePoint m_pausedUntil = TimePoint::min();
    Duration m_usualTime{0};
    Duration m_usualFirstByte{0};
    WaitingLine m_line;
    RetryAllowance m_retries;
};

} // namespace burdockhead
