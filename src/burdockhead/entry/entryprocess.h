#pragma once

#include <burdockhead/settings/processsettings.h>

namespace burdockhead {

// Runs an entry until SIGTERM and through its graceful stop. The exit status of the process.
int runEntry(const EntrySettings &settings);

} // namespace burdockhead
