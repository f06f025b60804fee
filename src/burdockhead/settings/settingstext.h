#pragma once

#include <burdockhead/settings/diagnostic.h>
#include <burdockhead/settings/keydescription.h>
#include <burdockhead/settings/processsettings.h>

#include <optional>
#include <string>

namespace burdockhead {

// Reads an entry's settings file. None when anything is wrong; each diagnostic names
// file, line, section and key.
std::optional<EntrySettings>
parseEntrySettings(const std::string &text, const std::string &fileName, Diagnostics &diagnostics);

// Reads an agent's settings file, in the same way.
std::optional<AgentSettings>
parseAgentSettings(const std::string &text, const std::string &fileName, Diagnostics &diagnostics);

// The settings as INI text that reads back.
std::string printSettings(const EntrySettings &settings);
std::string printSettings(const AgentSettings &settings);

// Every key that a settings file may have.
std::vector<KeyDescription> entrySettingsKeys();
std::vector<KeyDescription> agentSettingsKeys();

} // namespace burdockhead
