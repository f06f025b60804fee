#pragma once

#include <burdockhead/settings/processsettings.h>

#include <functional>
#include <optional>

namespace burdockhead {

// Rereads the settings of a gateway; none when they are invalid.
using ReadGatewaySettings = std::function<std::optional<GatewaySettings>()>;

// Functions that run a process until it is stopped. They return the exit status.
struct ProcessRunners
{
    int (*m_runEntry)(const EntrySettings &);
    int (*m_runAgent)(const AgentSettings &);
    int (*m_runGateway)(const GatewaySettings &, const ReadGatewaySettings &);
    int (*m_runRankAgent)(const RankAgentSettings &);
};

} // namespace burdockhead
