#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockhead {

// A parsed structured log line.
struct LogRecord
{
    std::int64_t m_time = 0; // Milliseconds since 1970 by the writer's wall clock.
    std::string m_process;
    std::string m_event;
    std::vector<std::pair<std::string, std::string>> m_fields; // The other fields in line order.

    // Returns the value of a field; empty if the field is missing.
    std::string field(std::string_view key) const;

    friend bool operator==(const LogRecord &, const LogRecord &) = default;
};

// Parses a line written by LineSink, skipping any prefix before "time=". Returns no value on
// any other text.
std::optional<LogRecord> readLogRecord(std::string_view line);

} // namespace burdockhead
