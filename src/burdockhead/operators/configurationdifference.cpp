#include <burdockhead/operators/configurationdifference.h>
#include <burdockhead/settings/configurationtext.h>
#include <burdockhead/settings/inidocument.h>

#include <fmt/format.h>

#include <map>

namespace burdockhead {

namespace {

using KeyValues = std::map<std::string, std::string>;
using Sections = std::map<std::string, KeyValues>;

// Writes out all defaults of a valid configuration, so that an omitted key equals its default.
std::string withDefaults(const std::string &text)
{
    Diagnostics ignoredDiagnostics;
    const auto configuration = parseConfiguration(text, "", ignoredDiagnostics);
    return configuration ? printConfiguration(*configuration) : text;
}

Sections parseSections(const std::string &text)
{
    Diagnostics ignoredDiagnostics;
    Sections sections;
    for (const IniSection &section :
         readIniDocument(withDefaults(text), "", ignoredDiagnostics).m_sections) {
        KeyValues &values = sections[section.heading()];
        for (const IniEntry &entry : section.m_entries)
            values[entry.m_key] = entry.m_value;
    }
    return sections;
}

std::string formatSection(const std::string &sign, const std::string &heading,
                          const KeyValues &values)
{
    std::string line = fmt::format("{} [{}]", sign, heading);
    for (const auto &[key, value] : values)
        line += fmt::format(" {}={};", key, value);
    if (line.ends_with(';'))
        line.pop_back();
    return line + "\n";
}

std::string formatChanges(const std::string &heading, const KeyValues &before,
                          const KeyValues &after)
{
    KeyValues allValues = after;
    allValues.insert(before.begin(), before.end());
    std::string text;
    for (const auto &[key, value] : allValues) {
        const auto oldValue = before.find(key);
        const auto newValue = after.find(key);
        const std::string oldText = oldValue == before.end() ? "(none)" : oldValue->second;
        const std::string newText = newValue == after.end() ? "(none)" : newValue->second;
        if (oldText != newText)
            text += fmt::format("  [{}] {}: {} -> {}\n", heading, key, oldText, newText);
    }
    return text;
}

} // namespace

std::string configurationDifference(const std::string &before, const std::string &after)
{
    const Sections oldSections = parseSections(before);
    const Sections newSections = parseSections(after);
    Sections allSections = newSections;
    allSections.insert(oldSections.begin(), oldSections.end());
    std::string text;
    for (const auto &[heading, values] : allSections) {
        const auto oldSection = oldSections.find(heading);
        const auto newSection = newSections.find(heading);
        if (oldSection == oldSections.end())
            text += formatSection("+", heading, values);
        else if (newSection == newSections.end())
            text += formatSection("-", heading, values);
        else
            text += formatChanges(heading, oldSection->second, newSection->second);
    }
    return text;
}

} // namespace burdockhead
