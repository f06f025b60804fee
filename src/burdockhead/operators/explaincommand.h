#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Prints the way of a request, the first argument, through the processes whose logs are the
// other arguments.
int runExplainCommand(CommandContext &context);

} // namespace burdockhead
