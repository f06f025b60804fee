#pragma once

#include <burdockhead/gateway/storeprotocol.h>
#include <burdockhead/rankagent/enginedialect.h>
#include <burdockhead/settings/processsettings.h>

namespace burdockhead {

// What agents ask of one another.
constexpr const char *rankStatusTarget = "/rank";
constexpr const char *rankCountsTarget = "/rank/counts"; // The status with the counts.
constexpr const char *rankOrderTarget = "/rank/order";
constexpr const char *askedByQuery = "?by="; // Followed by the rank of the coordinator's agent.

// What a rank's agent speaks with its engine and the platform's store.
struct RankAgentDialects
{
    const EngineDialect &m_engine;
    const StoreProtocol &m_store;
};

// Runs the agent beside a rank of an engine until SIGTERM or SIGINT. It passes on what its
// rank says and is told; beside rank 0 it coordinates the group. The exit status.
int runRankAgent(const RankAgentSettings &settings, const RankAgentDialects &dialects);

} // namespace burdockhead
