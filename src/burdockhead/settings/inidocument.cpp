#include <burdockhead/settings/inidocument.h>

#include <algorithm>
#include <cstring>
#include <ini.h>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace burdockhead {

namespace {

// The library's line buffer, including the line end and the null terminator.
constexpr int maxLineBytes = 65536;

constexpr std::string_view whitespace = " \t\r\n\f\v";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

// Sets the library's options once, since they are global variables.
bool setLibraryOptions()
{
    ini_allow_multiline = false;
    ini_use_stack = false;
    ini_allow_realloc = false;
    ini_max_line = maxLineBytes;
    ini_initial_alloc = maxLineBytes;
    return true;
}

// Passes the text to the library line by line to know the line number of each key. Parses
// section headings itself, because the library omits empty sections and truncates long headings.
class IniParser
{
public:
    IniParser(const std::string &text, const std::string &fileName, Diagnostics &diagnostics)
        : m_remaining(text)
        , m_fileName(fileName)
        , m_diagnostics(diagnostics)
    {}

    IniDocument run()
    {
        static const bool areOptionsSet = setLibraryOptions();
        if (areOptionsSet)
            ini_parse_stream(&IniParser::nextLine, this, &IniParser::handleEntry, this);
        reportUnparsedLine();
        return std::move(m_document);
    }

private:
    static char *nextLine(char *buffer, int size, void *stream)
    {
        return static_cast<IniParser *>(stream)->copyNextLine(buffer, size);
    }

    static int handleEntry(void *user, const char *, const char *key, const char *value)
    {
        static_cast<IniParser *>(user)->addEntry(key, value);
        return 1;
    }

    char *copyNextLine(char *buffer, int size)
    {
        reportUnparsedLine();
        if (m_remaining.empty())
            return nullptr;
        const std::size_t end = std::min(m_remaining.find('\n'), m_remaining.size());
        std::string_view line = m_remaining.substr(0, end);
        m_remaining.remove_prefix(std::min(end + 1, m_remaining.size()));
        ++m_line;
        if (!validateLine(line, static_cast<std::size_t>(size)))
            line = {};
        classifyLine(trimmed(line));
        std::memcpy(buffer, line.data(), line.size());
        buffer[line.size()] = '\n';
        buffer[line.size() + 1] = '\0';
        return buffer;
    }

    bool validateLine(std::string_view line, std::size_t size)
    {
        if (line.size() + 3 > size) {
            report("", "the line is too long", "at most " + std::to_string(size - 3) + " bytes");
            return false;
        }
        if (line.find('\0') != std::string_view::npos) {
            report("", "the line contains a null byte", "text");
            return false;
        }
        return true;
    }

    void classifyLine(std::string_view line)
    {
        m_isEntryExpected = false;
        if (line.empty() || line.front() == ';' || line.front() == '#')
            return;
        if (line.front() == '[') {
            startSection(line);
            return;
        }
        m_isEntryExpected = true;
    }

    void startSection(std::string_view line)
    {
        const std::size_t end = line.find(']');
        const std::string_view heading = trimmed(line.substr(1, std::min(end, line.size()) - 1));
        const std::size_t blank = std::min(heading.find_first_of(whitespace), heading.size());
        IniSection section;
        section.m_type = heading.substr(0, blank);
        section.m_name = trimmed(heading.substr(blank));
        section.m_line = m_line;
        m_document.m_sections.push_back(std::move(section));
        m_keyLines.clear();
        if (end == std::string_view::npos)
            report("", "the section heading has no closing bracket", "[TYPE] or [TYPE NAME]");
        const std::string headingText = m_document.m_sections.back().heading();
        const auto [previous, isNew] = m_sectionLines.emplace(headingText, m_line);
        if (!isNew)
            report("",
                   "the section is repeated; it is on line " + std::to_string(previous->second)
                       + " already",
                   "each section once");
    }

    void addEntry(const std::string &key, const std::string &value)
    {
        m_isEntryExpected = false;
        if (m_document.m_sections.empty()) {
            report(key, "the key comes before the first section", "keys inside a section");
            return;
        }
        const auto [previous, isNew] = m_keyLines.emplace(key, m_line);
        if (!isNew) {
            report(key,
                   "the key is repeated; it is on line " + std::to_string(previous->second)
                       + " already",
                   "each key once in a section");
            return;
        }
        m_document.m_sections.back().m_entries.push_back({key, value, m_line});
    }

    void reportUnparsedLine()
    {
        if (m_isEntryExpected)
            report("", "the line has no '='", "KEY = VALUE, [SECTION] or a comment");
        m_isEntryExpected = false;
    }

    void report(const std::string &key, const std::string &message, const std::string &allowed)
    {
        const bool isInSection = !m_document.m_sections.empty();
        m_diagnostics.push_back({m_fileName, m_line,
                                 isInSection ? m_document.m_sections.back().heading() : "", key,
                                 message, allowed});
    }

    std::string_view m_remaining;
    const std::string &m_fileName;
    Diagnostics &m_diagnostics;
    IniDocument m_document;
    std::unordered_map<std::string, std::size_t> m_sectionLines;
    std::unordered_map<std::string, std::size_t> m_keyLines;
    std::size_t m_line = 0;
    bool m_isEntryExpected = false; // The library must still report the line's key and value.
};

} // namespace

std::string IniSection::heading() const
{
    return m_name.empty() ? m_type : m_type + " " + m_name;
}

const IniEntry *IniSection::entry(const std::string &key) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [&](const IniEntry &entry) { return entry.m_key == key; });
    return found == m_entries.end() ? nullptr : &*found;
}

IniDocument readIniDocument(const std::string &text, const std::string &fileName,
                            Diagnostics &diagnostics)
{
    return IniParser(text, fileName, diagnostics).run();
}

} // namespace burdockhead
