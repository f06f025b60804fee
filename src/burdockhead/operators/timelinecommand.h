#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Collects events from all processes that an entry knows, prints them merged in causal
// order, and names on the error stream the processes that it could not reach.
int runTimelineCommand(CommandContext &context);

} // namespace burdockhead
