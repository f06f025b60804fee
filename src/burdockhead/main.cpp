#include <burdockhead/operators/commandline.h>
#include <burdockhead/operators/exitcode.h>

#include <iostream>

using namespace burdockhead;

namespace {

int refuseEntry(const EntrySettings &)
{
    std::cerr << "burdockhead: entry is not available in this build\n";
    return ExitFailed;
}

int refuseAgent(const AgentSettings &)
{
    std::cerr << "burdockhead: agent is not available in this build\n";
    return ExitFailed;
}

} // namespace

int main(int count, char **arguments)
{
    const ProcessRunners runners = {refuseEntry, refuseAgent};
    return runCommandLine(programCommands(runners), Arguments(arguments + 1, arguments + count),
                          std::cin, std::cout, std::cerr);
}
