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

// What a watcher asks of its owner and reports to it, on the watcher's thread.
struct PlatformWatcherHooks
{
    std::function<bool()> m_shouldWatch;          // Watch the configuration now.
    std::function<bool()> m_needsVms;             // Read the list of VMs soon.
    std::function<std::uint64_t()> m_heldVersion; // Only newer versions are of interest.
    std::function<void(const ReadAnswer &, std::uint64_t after, TimePoint askedAt)> m_onAnswer;
    std::function<void(const std::vector<Vm> &)> m_onVms;
};

// Watches the configuration object and reads the list of VMs on a thread of its own, while
// its owner wants that.
class PlatformWatcher
{
public:
    PlatformWatcher(std::shared_ptr<ObjectApi> platform, PlatformWatcherHooks hooks);
    // Stops the watcher.
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    void start();
    // Ends the thread; takes as long as the call under way.
    void stop();

    // Calls made to the platform so far.
    std::uint64_t calls() const { return m_calls; }

private:
    void run();
    void watchOnce();
    void readVmsIfDue();
    void pause(Milliseconds time);

    std::shared_ptr<ObjectApi> m_platform;
    PlatformWatcherHooks m_hooks;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::atomic<std::uint64_t> m_calls = 0;
    TimePoint m_nextVms;
    std::thread m_thread;
};

} // namespace burdockhead
