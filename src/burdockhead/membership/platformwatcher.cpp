#include <burdockhead/configuration/configurationvalue.h>
#include <burdockhead/membership/platformwatcher.h>

namespace burdockhead {

namespace {

// Short, because a result is evidence only for the time at which the request was sent.
constexpr Milliseconds watchTimeout(450);
constexpr Milliseconds listTimeout(1000);
constexpr Milliseconds retryDelay(200);
constexpr Milliseconds idleCheckPeriod(100);
constexpr Milliseconds vmListPeriod(5000);
constexpr Milliseconds vmListSearchPeriod(300);

} // namespace

PlatformWatcher::PlatformWatcher(std::shared_ptr<ObjectApi> platform, PlatformWatcherHooks hooks)
    : m_platform(std::move(platform))
    , m_hooks(std::move(hooks))
{}

PlatformWatcher::~PlatformWatcher()
{
    stop();
}

void PlatformWatcher::start()
{
    m_thread = std::thread([this] { run(); });
}

void PlatformWatcher::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void PlatformWatcher::waitOrStop(Milliseconds duration)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, duration, [this] { return m_isStopping; });
}

void PlatformWatcher::run()
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping)
                return;
        }
        readVmListIfDue();
        if (m_hooks.m_shouldWatch())
            watchOnce();
        else
            waitOrStop(idleCheckPeriod);
    }
}

void PlatformWatcher::watchOnce()
{
    const std::uint64_t after = m_hooks.m_heldVersion();
    const TimePoint requestedAt = Clock::now();
    ++m_calls;
    const ReadAnswer answer = m_platform->watch(configurationObjectKind, configurationObjectName,
                                                after, requestedAt + watchTimeout);
    m_hooks.m_onConfigurationRead(answer, after, requestedAt);
    if (!answer.m_answered)
        waitOrStop(retryDelay);
}

// Watchers read the list regularly to find peers that no member knows yet; other processes read
// it only while they know no peer.
void PlatformWatcher::readVmListIfDue()
{
    const TimePoint now = Clock::now();
    const bool isNeeded = m_hooks.m_needsVmList();
    if (now < m_nextVmListAt || (!isNeeded && !m_hooks.m_shouldWatch()))
        return;
    ++m_calls;
    const auto vms = m_platform->listVms(now + listTimeout);
    if (vms)
        m_hooks.m_onVmList(*vms);
    m_nextVmListAt = Clock::now() + (isNeeded ? vmListSearchPeriod : vmListPeriod);
}

} // namespace burdockhead
