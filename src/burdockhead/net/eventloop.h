#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace burdockhead {

// Names a timer of an EventLoop; 0 names none.
using TimerId = std::uint64_t;

// One thread's event loop. Everything that hangs on it runs in the thread that calls run().
// All timers share one timer of the kernel, which is set only when an earlier deadline comes.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs until stop(); after restart() it can run again.
    void run();
    void stop();
    void restart();

    // Calls the action at the deadline.
    TimerId callAt(TimePoint deadline, std::function<void()> action);

    // Cancels a timer and sets it to 0; does nothing for a timer that is over.
    void cancel(TimerId &timer);

    // Calls the action after the present handler has returned.
    void post(std::function<void()> action);

    // Calls the action each time that the signal comes.
    void onSignal(int signalNumber, std::function<void()> action);

    asio::io_context &context();

private:
    struct Private;
    std::unique_ptr<Private> m_d;
};

} // namespace burdockhead
