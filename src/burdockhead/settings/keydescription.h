#pragma once

#include <string>

namespace burdockhead {

// One key of a settings file or a configuration, as the key page lists it.
struct KeyDescription
{
    std::string m_section; // The section's type.
    std::string m_key;
    std::string m_allowed;
    std::string m_default; // Empty when the key is required.
    std::string m_meaning;
};

} // namespace burdockhead
