#pragma once

#include <burdockhead/operators/commandcontext.h>

namespace burdockhead {

// Prints the prompt parts that a gateway refuses or suspects.
int runQuarantinesCommand(CommandContext &context);

// Lifts the quarantine of a prompt part, given as service and part, at all gateways.
int runLiftQuarantineCommand(CommandContext &context);

} // namespace burdockhead
