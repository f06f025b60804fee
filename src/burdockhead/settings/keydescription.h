#pragma once

#include <string>

namespace burdockhead {

// The documentation of one key of a settings file or a configuration.
struct KeyDescription
{
    std::string m_section; // The section's type, without a name.
    std::string m_key;
    std::string m_allowed;
    std::string m_default; // Empty when the key is required.
    std::string m_meaning;
};

} // namespace burdockhead
