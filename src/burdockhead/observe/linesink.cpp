#include <burdockhead/observe/linesink.h>

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace burdockhead {

namespace {

void appendValue(std::string &line, std::string_view value)
{
    if (value.find_first_of(" \"=\n\r") == std::string_view::npos && !value.empty()) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line.push_back('\\');
        line.push_back(c == '\n' || c == '\r' ? ' ' : c);
    }
    line.push_back('"');
}

std::int64_t wallClockMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

LineSink::LineSink(int descriptor, std::string processName, Options options)
    : m_descriptor(descriptor)
    , m_processName(std::move(processName))
    , m_options(options)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        (void)fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool LineSink::consumeBudget(std::string_view event)
{
    const TimePoint now = Clock::now();
    if (now >= m_budgetResetsAt) {
        m_linesThisSecond.clear();
        m_budgetResetsAt = now + Milliseconds(1000);
    }
    auto found = m_linesThisSecond.find(event);
    if (found == m_linesThisSecond.end())
        found = m_linesThisSecond.emplace(event, 0).first;
    return ++found->second <= m_options.m_linesPerSecond;
}

void LineSink::add(std::string_view event, std::initializer_list<LineField> fields)
{
    if (!consumeBudget(event) || m_buffer.size() > m_options.m_maxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    if (m_reportedDroppedLines != m_droppedLines) {
        const auto dropped = m_droppedLines - m_reportedDroppedLines;
        m_reportedDroppedLines = m_droppedLines;
        append("lines_dropped", {{"count", std::to_string(dropped)}});
    }
    append(event, fields);
}

void LineSink::append(std::string_view event, std::initializer_list<LineField> fields)
{
    m_buffer.append("time=").append(std::to_string(wallClockMilliseconds()));
    m_buffer.append(" process=").append(m_processName);
    m_buffer.append(" event=").append(event);
    for (const LineField &field : fields) {
        m_buffer.append(" ").append(field.m_key).append("=");
        appendValue(m_buffer, field.m_value);
    }
    m_buffer.push_back('\n');
}

void LineSink::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        const ssize_t count =
            write(m_descriptor, m_buffer.data() + written, m_buffer.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            break; // The reader is blocked; add() drops lines once the buffer is full.
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

} // namespace burdockhead
