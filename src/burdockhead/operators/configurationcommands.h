#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Prints the configuration in force, with its version as a comment.
int runShowCommand(CommandContext &context);

// Shows what a file changes, asks, and puts it in force unless somebody else changed the
// configuration meanwhile.
int runApplyCommand(CommandContext &context);

// Take a data centre out of service and bring it back. A change by somebody else doesn't
// stop them: they read again and change the one key.
int runTakeOutCommand(CommandContext &context);
int runBringBackCommand(CommandContext &context);

} // namespace burdockhead
