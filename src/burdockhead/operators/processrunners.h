#pragma once

#include <burdockhead/settings/processsettings.h>

#include <functional>
#include <optional>

namespace burdockhead {

// Reads a gateway's settings again; none when they can't be used.
using ReadGatewaySettings = std::function<std::optional<GatewaySettings>()>;

// The functions that run a process until it is stopped. They return the exit status.
struct ProcessRunners
{
    int (*m_runEntry)(const EntrySettings &);
    int (*m_runAgent)(const AgentSettings &);
    int (*m_runGateway)(const GatewaySettings &, const ReadGatewaySettings &);
    int (*m_runRankAgent)(const RankAgentSettings &);
};

} // namespace burdockhead
