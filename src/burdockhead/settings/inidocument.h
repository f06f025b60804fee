#pragma once

#include <burdockhead/settings/diagnostic.h>

#include <string>
#include <vector>

namespace burdockhead {

// One key with its value and the line that it stands on.
struct IniEntry
{
    std::string m_key;
    std::string m_value;
    std::size_t m_line = 0;

    friend bool operator==(const IniEntry &, const IniEntry &) = default;
};

// One section in the order of the file. Its heading is "TYPE" or "TYPE NAME".
struct IniSection
{
    std::string m_type;
    std::string m_name;
    std::size_t m_line = 0;
    std::vector<IniEntry> m_entries;

    // The heading as it stands between the brackets.
    std::string heading() const;

    // The first entry with that key, or a null pointer.
    const IniEntry *entry(const std::string &key) const;
};

// An INI file as sections and keys with their lines.
struct IniDocument
{
    std::vector<IniSection> m_sections;
};

// Reads INI text. Adds a diagnostic for each line that is neither a section, a key with a
// value, a comment nor blank, for each repeated section or key, for keys before the first
// section and for lines that are too long. Comments start with ';' or '#' at the start of
// a line, or with " ;" after a value.
IniDocument readIniDocument(const std::string &text, const std::string &fileName,
                            Diagnostics &diagnostics);

} // namespace burdockhead
