#include <burdockhead/observe/logrecord.h>

#include <charconv>

namespace burdockhead {

namespace {

// Parses and removes the next "key=value" of the text; returns false if there is none.
bool consumeField(std::string_view &text, std::string &key, std::string &value)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    const auto equals = text.find('=');
    if (equals == std::string_view::npos)
        return false;
    key = text.substr(0, equals);
    text.remove_prefix(equals + 1);
    value.clear();
    if (!text.starts_with('"')) {
        const auto end = text.find(' ');
        value = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end);
        return key.find(' ') == std::string::npos;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1)
            text.remove_prefix(1);
        value.push_back(text.front());
        text.remove_prefix(1);
    }
    if (text.empty())
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string LogRecord::field(std::string_view key) const
{
    for (const auto &[name, value] : m_fields) {
        if (name == key)
            return value;
    }
    return "";
}

std::optional<LogRecord> readLogRecord(std::string_view line)
{
    const auto start = line.find("time=");
    if (start == std::string_view::npos)
        return std::nullopt;
    line.remove_prefix(start);
    LogRecord record;
    std::string key;
    std::string value;
    while (consumeField(line, key, value)) {
        if (key == "time") {
            const char *end = value.data() + value.size();
            if (std::from_chars(value.data(), end, record.m_time).ptr != end)
                return std::nullopt;
        } else if (key == "process") {
            record.m_process = value;
        } else if (key == "event") {
            record.m_event = value;
        } else {
            record.m_fields.emplace_back(key, value);
        }
    }
    if (record.m_process.empty() || record.m_event.empty())
        return std::nullopt;
    return record;
}

} // namespace burdockhead
