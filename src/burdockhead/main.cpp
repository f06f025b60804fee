#include <burdockhead/agent/agentprocess.h>
#include <burdockhead/entry/entryprocess.h>
#include <burdockhead/gateway/gatewayprocess.h>
#include <burdockhead/operators/commandline.h>
#include <burdockhead/rankagent/rankagentprocess.h>

#include <platform/platformcallprotocol.h>
#include <platform/platformengineprotocol.h>
#include <platform/platformstoreprotocol.h>

#include <iostream>

using namespace burdockhead;

namespace {

int runPlatformGateway(const GatewaySettings &settings, const ReadGatewaySettings &readSettings)
{
    const PlatformCallProtocol calls;
    const PlatformStoreProtocol store;
    return runGateway(settings, {calls, store}, readSettings);
}

int runPlatformRankAgent(const RankAgentSettings &settings)
{
    const PlatformEngineProtocol engine;
    const PlatformStoreProtocol store;
    return runRankAgent(settings, {engine, store});
}

} // namespace

int main(int count, char **arguments)
{
    const ProcessRunners runners = {runEntry, runAgent, runPlatformGateway, runPlatformRankAgent};
    return runCommandLine(programCommands(runners), Arguments(arguments + 1, arguments + count),
                          std::cin, std::cout, std::cerr);
}
