#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Validates each file and prints its errors. The sections of a file determine whether it
// holds a configuration or the settings of a process. Returns the exit status.
int runCheckCommand(CommandContext &context);

} // namespace burdockhead
