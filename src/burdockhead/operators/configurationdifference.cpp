#include <burdockhead/operators/configurationdifference.h>
#include <burdockhead/settings/configurationtext.h>
#include <burdockhead/settings/inidocument.h>

#include <fmt/format.h>

#include <map>

namespace burdockhead {

namespace {

using Values = std::map<std::string, std::string>;
using Sections = std::map<std::string, Values>;

// A valid configuration is compared with all defaults written out.
std::string normalized(const std::string &text)
{
    Diagnostics ignored;
    const auto configuration = parseConfiguration(text, "", ignored);
    return configuration ? printConfiguration(*configuration) : text;
}

Sections sectionsOf(const std::string &text)
{
    Diagnostics ignored;
    Sections sections;
    for (const IniSection &section : readIniDocument(normalized(text), "", ignored).m_sections) {
        Values &values = sections[section.heading()];
        for (const IniEntry &entry : section.m_entries)
            values[entry.m_key] = entry.m_value;
    }
    return sections;
}

std::string listed(const std::string &sign, const std::string &heading, const Values &values)
{
    std::string line = fmt::format("{} [{}]", sign, heading);
    for (const auto &[key, value] : values)
        line += fmt::format(" {}={};", key, value);
    if (line.ends_with(';'))
        line.pop_back();
    return line + "\n";
}

std::string changes(const std::string &heading, const Values &before, const Values &after)
{
    Values both = after;
    both.insert(before.begin(), before.end());
    std::string text;
    for (const auto &[key, value] : both) {
        const auto old = before.find(key);
        const auto now = after.find(key);
        const std::string oldText = old == before.end() ? "(none)" : old->second;
        const std::string newText = now == after.end() ? "(none)" : now->second;
        if (oldText != newText)
            text += fmt::format("  [{}] {}: {} -> {}\n", heading, key, oldText, newText);
    }
    return text;
}

} // namespace

std::string configurationDifference(const std::string &before, const std::string &after)
{
    const Sections old = sectionsOf(before);
    const Sections now = sectionsOf(after);
    Sections both = now;
    both.insert(old.begin(), old.end());
    std::string text;
    for (const auto &[heading, values] : both) {
        const auto removed = old.find(heading);
        const auto added = now.find(heading);
        if (removed == old.end())
            text += listed("+", heading, values);
        else if (added == now.end())
            text += listed("-", heading, values);
        else
            text += changes(heading, removed->second, added->second);
    }
    return text;
}

} // namespace burdockhead
