#pragma once

#include <burdockhead/base/failure.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/process/resourcelimits.h>
#include <burdockhead/process/stopsignal.h>

namespace burdockhead {

// Constructs and runs a process until SIGTERM or SIGINT, then shuts it down gracefully.
// Process must have start(Failure &) and drain(). Returns the exit status.
template <typename Process, typename Settings>
int runProcess(const Settings &settings)
{
    blockStopSignals();
    returnLargeBlocksAtOnce();
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
