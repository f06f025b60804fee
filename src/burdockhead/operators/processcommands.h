#pragma once

#include <burdockhead/operators/commandcontext.h>
#include <burdockhead/operators/processrunners.h>

namespace burdockhead {

// Parse the settings file and run the process until it is stopped. Return the exit status.
int runEntryCommand(CommandContext &context, const ProcessRunners &runners);
int runAgentCommand(CommandContext &context, const ProcessRunners &runners);
int runGatewayCommand(CommandContext &context, const ProcessRunners &runners);
int runRankAgentCommand(CommandContext &context, const ProcessRunners &runners);

} // namespace burdockhead
