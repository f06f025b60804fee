#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Collects events from all processes that an entry lists or a flag names and prints them merged
// in causal order. Lists unreachable processes on the error stream. Returns the exit status.
int runTimelineCommand(CommandContext &context);

} // namespace burdockhead
