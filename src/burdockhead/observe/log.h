#pragma once

#include <burdockhead/observe/loglevel.h>

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace burdockhead {

// A key-value pair of a log line.
struct LogField
{
    LogField(std::string key, std::string value);
    LogField(std::string key, const char *value);
    template <typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string key, Number value)
        : LogField(std::move(key), std::to_string(value))
    {}

    std::string m_key;
    std::string m_value;
};

using LogFields = std::vector<LogField>;

// Sets up logging to standard error. Must be called once, before the first log line.
void initializeLog(LogLevel level, const std::string &processName);

// Logs a state change as one line of key=value pairs: time, level, process, event and the
// fields; values with blanks or quotes are quoted. Events of single requests aren't logged
// but counted in metrics. Thread-safe.
void logInfo(const std::string &event, const LogFields &fields = {});
void logWarning(const std::string &event, const LogFields &fields = {});
void logError(const std::string &event, const LogFields &fields = {});

// Formats a log line of the functions above without its time.
std::string logLine(LogLevel level, const std::string &processName, const std::string &event,
                    const LogFields &fields);

} // namespace burdockhead
