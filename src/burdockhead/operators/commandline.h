#pragma once

#include <burdockhead/operators/command.h>
#include <burdockhead/operators/processrunners.h>

#include <iosfwd>
#include <vector>

namespace burdockhead {

// Returns all commands of the program. The runners run the long-lived processes.
std::vector<Command> programCommands(const ProcessRunners &runners);

// Finds the command, parses its flags, checks its arguments and runs it. A usage error
// prints one line to the error stream and returns ExitUsage. The arguments do not include
// the program's name. Returns the exit status.
int runCommandLine(const std::vector<Command> &commands, const Arguments &arguments,
                   std::istream &in, std::ostream &out, std::ostream &err);

} // namespace burdockhead
