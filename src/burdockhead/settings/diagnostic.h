#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace burdockhead {

// One thing that is wrong with a settings file or a configuration.
struct Diagnostic
{
    std::string m_file;
    std::size_t m_line = 0; // From 1; 0 when no line is to blame.
    std::string m_section;  // As it stands between the brackets; may be empty.
    std::string m_key;      // May be empty.
    std::string m_message;
    std::string m_allowed; // What would be right; may be empty.

    // One line: "FILE:LINE: section [x], key y: what is wrong; allowed: ...".
    std::string toString() const;

    friend bool operator==(const Diagnostic &, const Diagnostic &) = default;
};

using Diagnostics = std::vector<Diagnostic>;

// All of them, one a line.
std::string toString(const Diagnostics &diagnostics);

} // namespace burdockhead
