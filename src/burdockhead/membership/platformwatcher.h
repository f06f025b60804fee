#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/platform/objectapi.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace burdockhead {

// Callbacks by which a watcher queries its owner and reports results, on the watcher's thread.
struct PlatformWatcherHooks
{
    std::function<bool()> m_shouldWatch;          // Whether to watch the configuration now.
    std::function<bool()> m_needsVmList;          // Whether to read the list of VMs soon.
    std::function<std::uint64_t()> m_heldVersion; // The watch returns only newer versions.
    std::function<void(const ReadAnswer &, std::uint64_t after, TimePoint requestedAt)>
        m_onConfigurationRead;
    std::function<void(const std::vector<Vm> &)> m_onVmList;
};

// Watches the platform's configuration object and reads the list of VMs on its own thread,
// while the hooks ask for it.
class PlatformWatcher
{
public:
    PlatformWatcher(std::shared_ptr<ObjectApi> platform, PlatformWatcherHooks hooks);
    // Calls stop().
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    void start();
    // Joins the thread; blocks until the platform call in progress ends.
    void stop();

    // Returns the number of calls made to the platform.
    std::uint64_t calls() const { return m_calls; }

private:
    void run();
    void watchOnce();
    void readVmListIfDue();
    void waitOrStop(Milliseconds duration);

    std::shared_ptr<ObjectApi> m_platform;
    PlatformWatcherHooks m_hooks;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::atomic<std::uint64_t> m_calls = 0;
    TimePoint m_nextVmListAt;
    std::thread m_thread;
};

} // namespace burdockhead
