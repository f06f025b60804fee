#pragma once

#include <burdockhead/settings/processsettings.h>

namespace burdockhead {

// Runs an entry until SIGTERM and its graceful shutdown. Returns the process's exit status.
int runEntry(const EntrySettings &settings);

} // namespace burdockhead
