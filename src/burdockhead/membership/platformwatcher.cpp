#include <burdockhead/configuration/configurationvalue.h>
#include <burdockhead/membership/platformwatcher.h>

namespace burdockhead {

namespace {

// Short, because an answer tells about the time at which the question was sent.
constexpr Milliseconds watchLimit(450);
constexpr Milliseconds listLimit(1000);
constexpr Milliseconds pauseAfterFailure(200);
constexpr Milliseconds idlePause(100);
constexpr Milliseconds vmsPeriod(5000);
constexpr Milliseconds vmsHurry(300);

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
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void PlatformWatcher::pause(Milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, time, [this] { return m_stopping; });
}

void PlatformWatcher::run()
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
        }
        readVmsIfDue();
        if (m_hooks.m_shouldWatch())
            watchOnce();
        else
            pause(idlePause);
    }
}

void PlatformWatcher::watchOnce()
{
    const std::uint64_t after = m_hooks.m_heldVersion();
    const TimePoint askedAt = Clock::now();
    ++m_calls;
    const ReadAnswer answer = m_platform->watch(configurationObjectKind, configurationObjectName,
                                                after, askedAt + watchLimit);
    m_hooks.m_onAnswer(answer, after, askedAt);
    if (!answer.m_answered)
        pause(pauseAfterFailure);
}

// Watchers keep the list fresh for the peers that it names and that nobody knows yet; other
// processes read it only while they know no peer.
void PlatformWatcher::readVmsIfDue()
{
    const TimePoint now = Clock::now();
    const bool needed = m_hooks.m_needsVms();
    if (now < m_nextVms || (!needed && !m_hooks.m_shouldWatch()))
        return;
    ++m_calls;
    const auto vms = m_platform->listVms(now + listLimit);
    if (vms)
        m_hooks.m_onVms(*vms);
    m_nextVms = Clock::now() + (needed ? vmsHurry : vmsPeriod);
}

} // namespace burdockhead
