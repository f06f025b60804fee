#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace burdockhead {

// An error in a settings file or a configuration.
struct Diagnostic
{
    std::string m_file;
    std::size_t m_line = 0; // Counted from 1; 0 if the error has no line.
    std::string m_section;  // The text between the brackets; may be empty.
    std::string m_key;      // May be empty.
    std::string m_message;
    std::string m_allowed; // The accepted values; may be empty.

    // Formats one line: "FILE:LINE: section [x], key y: message; allowed: ...".
    std::string toString() const;

    friend bool operator==(const Diagnostic &, const Diagnostic &) = default;
};

using Diagnostics = std::vector<Diagnostic>;

// Formats the diagnostics, one per line.
std::string toString(const Diagnostics &diagnostics);

} // namespace burdockhead
