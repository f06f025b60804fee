#pragma once

#include <burdockhead/operators/command.h>
#include <burdockhead/operators/processrunners.h>

#include <iosfwd>
#include <vector>

namespace burdockhead {

// All commands of the program. The runners start the long-lived processes.
std::vector<Command> programCommands(const ProcessRunners &runners);

// Finds the command, sets its flags, checks its arguments and runs it. Anything unknown
// gives one line on the error stream and ExitUsage. The arguments are without the
// program's name. Returns the exit status.
int runCommandLine(const std::vector<Command> &commands, const Arguments &arguments,
                   std::istream &in, std::ostream &out, std::ostream &err);

} // namespace burdockhead
