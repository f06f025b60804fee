#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Blocks SIGTERM and SIGINT in this thread and all that it starts, and ignores SIGPIPE.
// Called before the first thread is started.
void blockStopSignals();

// Waits for SIGTERM or SIGINT.
void waitForStopSignal();

// Waits for the next one until the deadline; false when none came.
bool waitForStopSignalUntil(TimePoint deadline);

} // namespace burdockhead
