#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace burdockhead {

// A key-value pair of a structured log line.
struct LineField
{
    std::string_view m_key;
    std::string m_value;
};

// Writes structured log lines to a file descriptor without ever blocking the process: has a
// bounded buffer and a budget of lines per second and event, and logs the number of dropped lines.
class LineSink
{
public:
    struct Options
    {
        std::size_t m_maxBufferedBytes = 262144; // The memory bound if the reader is blocked.
        std::size_t m_linesPerSecond = 200;      // Per event.
    };

    // Makes the descriptor non-blocking. Each line carries the process's name.
    LineSink(int descriptor, std::string processName, Options options);

    // Adds a line "time=... process=... event=KEY key=value ...". The wall-clock time is in
    // milliseconds since 1970.
    void add(std::string_view event, std::initializer_list<LineField> fields);

    // Writes what the descriptor accepts without blocking. To be called several times a second.
    void flush();

    // Returns the number of lines dropped since the start.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    bool consumeBudget(std::string_view event);
    void append(std::string_view event, std::initializer_list<LineField> fields);

    int m_descriptor;
    std::string m_processName;
    Options m_options;
    std::string m_buffer;
    std::map<std::string, std::size_t, std::less<>> m_linesThisSecond;
    TimePoint m_budgetResetsAt = TimePoint::min();
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
};

} // namespace burdockhead
