#include <burdockhead/membership/abandonabletask.h>

#include <thread>

namespace burdockhead {

AbandonableTask::AbandonableTask(const std::function<void()> &action)
{
    std::packaged_task<void()> task(action);
    m_end = task.get_future();
    std::thread(std::move(task)).detach();
}

bool AbandonableTask::waitUntil(TimePoint deadline) const
{
    return m_end.wait_until(deadline) == std::future_status::ready;
}

} // namespace burdockhead
