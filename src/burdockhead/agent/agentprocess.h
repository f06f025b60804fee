#pragma once

#include <burdockhead/settings/processsettings.h>

namespace burdockhead {

// Runs an agent until SIGTERM and through its graceful stop. The exit status of the process.
int runAgent(const AgentSettings &settings);

} // namespace burdockhead
