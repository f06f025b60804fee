#pragma once

#include <burdockhead/base/socketaddress.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/observe/eventfilter.h>
#include <burdockhead/operators/outcomesummary.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// The validated values of the program's flags.
struct CommandOptions
{
    std::string m_settingsFile;
    std::vector<SocketAddress> m_entries;   // Operator addresses of entries, tried in order.
    std::vector<SocketAddress> m_processes; // Operator addresses of additional processes.
    std::vector<SocketAddress> m_gateways;  // Metrics addresses of gateways, tried in order.
    std::optional<std::uint64_t> m_baseVersion;
    bool m_yes = false;
    bool m_dryRun = false;
    bool m_json = false;
    Milliseconds m_timeout{5000};
    EventFilter m_filter;
    OutcomeObjectives m_objectives;
    bool m_svg = false;
};

} // namespace burdockhead
