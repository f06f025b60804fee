#include <burdockhead/agent/agentprocess.h>
#include <burdockhead/entry/entryprocess.h>
#include <burdockhead/gateway/gatewayprocess.h>
#include <burdockhead/operators/commandline.h>
#include <burdockhead/rankagent/rankagentprocess.h>

#include <platform/platformcalldialect.h>
#include <platform/platformenginedialect.h>
#include <platform/platformstoredialect.h>

#include <iostream>

using namespace burdockhead;

namespace {

int runPlatformGateway(const GatewaySettings &settings, const ReadGatewaySettings &readSettings)
{
    const PlatformCallDialect calls;
    const PlatformStoreDialect store;
    return runGateway(settings, {calls, store}, readSettings);
}

int runPlatformRankAgent(const RankAgentSettings &settings)
{
    const PlatformEngineDialect engine;
    const PlatformStoreDialect store;
    return runRankAgent(settings, {engine, store});
}

} // namespace

int main(int count, char **arguments)
{
    const ProcessRunners runners = {runEntry, runAgent, runPlatformGateway, runPlatformRankAgent};
    return runCommandLine(programCommands(runners), Arguments(arguments + 1, arguments + count),
                          std::cin, std::cout, std::cerr);
}
