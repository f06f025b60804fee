#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Prints the configuration in force, preceded by its version as a comment.
int runShowCommand(CommandContext &context);

// Prints the changes that a file makes to the configuration and applies it after confirmation.
// Fails with a conflict if the configuration was changed concurrently.
int runApplyCommand(CommandContext &context);

// Take a data centre out of service and bring it back. After a concurrent change they reread
// the configuration and set its one key again.
int runTakeOutCommand(CommandContext &context);
int runBringBackCommand(CommandContext &context);

} // namespace burdockhead
