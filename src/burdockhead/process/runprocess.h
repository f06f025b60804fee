#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/process/stopsignal.h>

namespace burdockhead {

// Runs a process made from its settings until SIGTERM or SIGINT, and through its graceful
// stop. A process has start(Failure &) and drain(). The exit status.
template <typename Process, typename Settings>
int runProcess(const Settings &settings)
{
    blockStopSignals();
    initializeLog(settings.m_logLevel, settings.m_name.text());
    Process process(settings);
    Failure failure;
    if (!process.start(failure)) {
        logError("start_failed", {{"reason", failure.m_reason}});
        return 1;
    }
    waitForStopSignal();
    process.drain();
    return 0;
}

} // namespace burdockhead
