#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Traces the request given as the first argument through the process logs given as the other
// arguments. Returns the exit status.
int runExplainCommand(CommandContext &context);

} // namespace burdockhead
