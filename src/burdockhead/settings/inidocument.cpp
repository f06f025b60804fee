#include <burdockhead/settings/inidocument.h>

#include <algorithm>
#include <cstring>
#include <ini.h>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace burdockhead {

namespace {

// The bytes of a line that the library reads whole, its end and a terminator included.
constexpr int maxLineBytes = 65536;

constexpr std::string_view blanks = " \t\r\n\f\v";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// The library keeps its options in variables of the process; they are set once.
bool setLibraryOptions()
{
    ini_allow_multiline = false;
    ini_use_stack = false;
    ini_allow_realloc = false;
    ini_max_line = maxLineBytes;
    ini_initial_alloc = maxLineBytes;
    return true;
}

// Feeds the library line by line, so that the line of each key is known, and sees the
// section headings itself because the library reports none without keys and cuts long ones.
class Parse
{
public:
    Parse(const std::string &text, const std::string &fileName, Diagnostics &diagnostics)
        : m_rest(text)
        , m_fileName(fileName)
        , m_diagnostics(diagnostics)
    {}

    IniDocument run()
    {
        static const bool optionsSet = setLibraryOptions();
        if (optionsSet)
            ini_parse_stream(&Parse::nextLine, this, &Parse::handleEntry, this);
        reportUnreadLine();
        return std::move(m_document);
    }

private:
    static char *nextLine(char *buffer, int size, void *stream)
    {
        return static_cast<Parse *>(stream)->copyNextLine(buffer, size);
    }

    static int handleEntry(void *user, const char *, const char *key, const char *value)
    {
        static_cast<Parse *>(user)->addEntry(key, value);
        return 1;
    }

    char *copyNextLine(char *buffer, int size)
    {
        reportUnreadLine();
        if (m_rest.empty())
            return nullptr;
        const std::size_t end = std::min(m_rest.find('\n'), m_rest.size());
        std::string_view line = m_rest.substr(0, end);
        m_rest.remove_prefix(std::min(end + 1, m_rest.size()));
        ++m_line;
        if (!isReadable(line, static_cast<std::size_t>(size)))
            line = {};
        noteLine(trimmed(line));
        std::memcpy(buffer, line.data(), line.size());
        buffer[line.size()] = '\n';
        buffer[line.size() + 1] = '\0';
        return buffer;
    }

    bool isReadable(std::string_view line, std::size_t size)
    {
        if (line.size() + 3 > size) {
            report("", "the line is too long", "at most " + std::to_string(size - 3) + " bytes");
            return false;
        }
        if (line.find('\0') != std::string_view::npos) {
            report("", "the line has a zero byte", "text");
            return false;
        }
        return true;
    }

    void noteLine(std::string_view line)
    {
        m_expectsEntry = false;
        if (line.empty() || line.front() == ';' || line.front() == '#')
            return;
        if (line.front() == '[') {
            startSection(line);
            return;
        }
        m_expectsEntry = true;
    }

    void startSection(std::string_view line)
    {
        const std::size_t end = line.find(']');
        const std::string_view heading = trimmed(line.substr(1, std::min(end, line.size()) - 1));
        const std::size_t blank = std::min(heading.find_first_of(blanks), heading.size());
        IniSection section;
        section.m_type = heading.substr(0, blank);
        section.m_name = trimmed(heading.substr(blank));
        section.m_line = m_line;
        m_document.m_sections.push_back(std::move(section));
        m_keyLines.clear();
        if (end == std::string_view::npos)
            report("", "the section heading has no closing bracket", "[TYPE] or [TYPE NAME]");
        const std::string title = m_document.m_sections.back().heading();
        const auto [known, isNew] = m_sectionLines.emplace(title, m_line);
        if (!isNew)
            report("",
                   "the section is repeated; it stands on line " + std::to_string(known->second)
                       + " already",
                   "each section once");
    }

    void addEntry(const std::string &key, const std::string &value)
    {
        m_expectsEntry = false;
        if (m_document.m_sections.empty()) {
            report(key, "the key stands before the first section", "keys inside a section");
            return;
        }
        const auto [known, isNew] = m_keyLines.emplace(key, m_line);
        if (!isNew) {
            report(key,
                   "the key is repeated; it stands on line " + std::to_string(known->second)
                       + " already",
                   "each key once in a section");
            return;
        }
        m_document.m_sections.back().m_entries.push_back({key, value, m_line});
    }

    void reportUnreadLine()
    {
        if (m_expectsEntry)
            report("", "the line has no '='", "KEY = VALUE, [SECTION] or a comment");
        m_expectsEntry = false;
    }

    void report(const std::string &key, const std::string &message, const std::string &allowed)
    {
        const bool inSection = !m_document.m_sections.empty();
        m_diagnostics.push_back({m_fileName, m_line,
                                 inSection ? m_document.m_sections.back().heading() : "", key,
                                 message, allowed});
    }

    std::string_view m_rest;
    const std::string &m_fileName;
    Diagnostics &m_diagnostics;
    IniDocument m_document;
    std::unordered_map<std::string, std::size_t> m_sectionLines;
    std::unordered_map<std::string, std::size_t> m_keyLines;
    std::size_t m_line = 0;
    bool m_expectsEntry = false; // The line should give a key and hasn't yet.
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
    return Parse(text, fileName, diagnostics).run();
}

} // namespace burdockhead
