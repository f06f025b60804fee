#pragma once

#include <burdockhead/settings/processsettings.h>

namespace burdockhead {

// Runs an agent until SIGTERM and through its graceful shutdown. Returns the exit status of the
// process.
int runAgent(const AgentSettings &settings);

} // namespace burdockhead
