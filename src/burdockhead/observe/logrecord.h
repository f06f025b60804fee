#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdockhead {

// A structured log line, read back.
struct LogRecord
{
    std::int64_t m_time = 0; // Milliseconds since 1970, of the writer's clock.
    std::string m_process;
    std::string m_event;
    std::vector<std::pair<std::string, std::string>> m_fields; // The others, in their order.

    // The value of a field; empty without it.
    std::string field(std::string_view key) const;

    friend bool operator==(const LogRecord &, const LogRecord &) = default;
};

// Reads a line that LineSink wrote; what stands before it on the line is skipped. None on any
// other text.
std::optional<LogRecord> readLogRecord(std::string_view line);

} // namespace burdockhead
