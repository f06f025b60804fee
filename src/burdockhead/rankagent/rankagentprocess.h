#pragma once

#include <burdockhead/gateway/storeprotocol.h>
#include <burdockhead/rankagent/engineprotocol.h>
#include <burdockhead/settings/processsettings.h>

namespace burdockhead {

// Targets of requests between agents.
constexpr const char *rankStatusTarget = "/rank";
constexpr const char *rankCountsTarget = "/rank/counts"; // Status including the counts.
constexpr const char *rankOrderTarget = "/rank/order";
constexpr const char *polledByQuery = "?by="; // Followed by the rank of the polling agent.

// Protocols of the rank's engine and of the platform's store.
struct RankAgentProtocols
{
    const EngineProtocol &m_engine;
    const StoreProtocol &m_store;
};

// Runs the agent beside a rank of an engine until SIGTERM or SIGINT and returns the exit status. It
// reports its rank's status and forwards orders to it; beside rank 0, or as an active standby, it
// coordinates the group.
int runRankAgent(const RankAgentSettings &settings, const RankAgentProtocols &protocols);

} // namespace burdockhead
