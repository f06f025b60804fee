#include <burdockhead/agent/agentprocess.h>
#include <burdockhead/entry/entryprocess.h>
#include <burdockhead/operators/commandline.h>

#include <iostream>

using namespace burdockhead;

int main(int count, char **arguments)
{
    const ProcessRunners runners = {runEntry, runAgent};
    return runCommandLine(programCommands(runners), Arguments(arguments + 1, arguments + count),
                          std::cin, std::cout, std::cerr);
}
