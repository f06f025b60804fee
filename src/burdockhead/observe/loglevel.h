#pragma once

namespace burdockhead {

// The log level; each level includes the levels after it.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// Returns the name of the level in settings: "debug", "info", "warning" or "error".
const char *toString(LogLevel level);

} // namespace burdockhead
