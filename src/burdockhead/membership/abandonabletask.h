#pragma once

#include <burdockhead/base/timepoint.h>

#include <functional>
#include <future>

namespace burdockhead {

// Runs an action that may never return on a thread of its own. Whoever waits for it can give up;
// the thread then goes on alone, so the action must own everything that it uses.
class AbandonableTask
{
public:
    explicit AbandonableTask(const std::function<void()> &action);

    // Waits for the action's end until the deadline. Returns whether it has ended.
    bool waitUntil(TimePoint deadline) const;

private:
    std::future<void> m_end;
};

} // namespace burdockhead
