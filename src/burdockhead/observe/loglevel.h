#pragma once

namespace burdockhead {

// How much a process logs; each level includes those after it.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// The level as it stands in settings: "debug", "info", "warning" or "error".
const char *toString(LogLevel level);

} // namespace burdockhead
