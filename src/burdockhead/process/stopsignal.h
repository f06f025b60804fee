#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Blocks SIGTERM and SIGINT in this thread and all threads that it starts, and ignores
// SIGPIPE. Must be called before the first thread is started.
void blockStopSignals();

// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

// Waits for SIGTERM or SIGINT until the deadline; returns false on a timeout.
bool waitForStopSignalUntil(TimePoint deadline);

} // namespace burdockhead
