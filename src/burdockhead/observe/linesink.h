#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace burdockhead {

// One key and value of a structured line.
struct LineField
{
    std::string_view m_key;
    std::string m_value;
};

// Structured log lines on a descriptor that may never block the process: a bounded buffer, a
// budget of lines a second for each event, and a line that says what was left out.
class LineSink
{
public:
    struct Options
    {
        std::size_t m_maxBufferedBytes = 262144; // What a reader that stands still may cost.
        std::size_t m_linesPerSecond = 200;      // For each event.
    };

    // Makes the descriptor non-blocking. The process's name stands on each line.
    LineSink(int descriptor, std::string processName, Options options);

    // Adds a line "time=... process=... event=KEY key=value ...". The wall-clock time is in
    // milliseconds since 1970.
    void add(std::string_view event, std::initializer_list<LineField> fields);

    // Writes as much as the descriptor takes now. To be called some times a second.
    void flush();

    // Lines that were left out since the start.
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    bool takeBudget(std::string_view event);
    void append(std::string_view event, std::initializer_list<LineField> fields);

    int m_descriptor;
    std::string m_processName;
    Options m_options;
    std::string m_buffer;
    std::map<std::string, std::size_t, std::less<>> m_linesThisSecond;
    TimePoint m_secondEndsAt = TimePoint::min();
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDrops = 0;
};

} // namespace burdockhead
