#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Summarizes how the requests in the process logs given as arguments ended, by second. Returns the
// exit status.
int runSummaryCommand(CommandContext &context);

} // namespace burdockhead
