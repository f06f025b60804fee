#pragma once

#include <burdockhead/base/timepoint.h>

#include <functional>
#include <thread>

namespace burdockhead {

// Waits until the condition holds, 30 s at most; whether it held is for the test to check.
inline bool waitUntil(const std::function<bool()> &condition)
{
    const TimePoint last = Clock::now() + Seconds(30);
    while (!condition()) {
        if (Clock::now() >= last)
            return false;
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return true;
}

} // namespace burdockhead
