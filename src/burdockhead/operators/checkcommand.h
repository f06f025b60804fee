#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Checks each file, whose sections tell whether it holds settings of an entry or agent or
// a configuration, and prints what is wrong. Returns the exit status.
int runCheckCommand(CommandContext &context);

} // namespace burdockhead
