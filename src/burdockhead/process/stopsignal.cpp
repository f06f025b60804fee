#include <burdockhead/process/stopsignal.h>

#include <csignal>
#include <ctime>

namespace burdockhead {

namespace {

constexpr long nanosecondsPerMillisecond = 1000000;
constexpr long millisecondsPerSecond = 1000;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    while (sigwait(&signals, &received) != 0) {
    }
}

bool waitForStopSignalUntil(TimePoint deadline)
{
    const sigset_t signals = stopSignals();
    const auto remaining = millisecondsUntil(deadline, Clock::now());
    const timespec timeout = {remaining / millisecondsPerSecond,
                              (remaining % millisecondsPerSecond) * nanosecondsPerMillisecond};
    return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

} // namespace burdockhead
