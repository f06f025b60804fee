#pragma once

#include <burdockhead/settings/diagnostic.h>

#include <string>
#include <vector>

namespace burdockhead {

// A key with its value and line number.
struct IniEntry
{
    std::string m_key;
    std::string m_value;
    std::size_t m_line = 0;

    friend bool operator==(const IniEntry &, const IniEntry &) = default;
};

// A section with its entries in file order. Its heading is "TYPE" or "TYPE NAME".
struct IniSection
{
    std::string m_type;
    std::string m_name;
    std::size_t m_line = 0;
    std::vector<IniEntry> m_entries;

    // Returns the text between the brackets.
    std::string heading() const;

    // Returns the first entry with the key, or a null pointer.
    const IniEntry *entry(const std::string &key) const;
};

// A parsed INI file with the line numbers of its sections and keys.
struct IniDocument
{
    std::vector<IniSection> m_sections;
};

// Parses INI text. Adds a diagnostic for each line that is neither a section heading, a
// key-value pair, a comment nor blank, for repeated sections and keys, for keys before the
// first section and for lines over the length limit. Comments start with ';' or '#' at the
// start of a line, or with " ;" after a value.
IniDocument readIniDocument(const std::string &text, const std::string &fileName,
                            Diagnostics &diagnostics);

} // namespace burdockhead
