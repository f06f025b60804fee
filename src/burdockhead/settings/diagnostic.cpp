#include <burdockhead/settings/diagnostic.h>

namespace burdockhead {

std::string Diagnostic::toString() const
{
    std::string line = m_file + ":" + std::to_string(m_line) + ": ";
    if (!m_section.empty())
        line += "section [" + m_section + "]" + (m_key.empty() ? ": " : ", ");
    if (!m_key.empty())
        line += "key " + m_key + ": ";
    line += m_message;
    if (!m_allowed.empty())
        line += "; allowed: " + m_allowed;
    return line;
}

std::string toString(const Diagnostics &diagnostics)
{
    std::string text;
    for (const Diagnostic &diagnostic : diagnostics)
        text += diagnostic.toString() + "\n";
    return text;
}

} // namespace burdockhead
