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

// Reads a gateway's settings file, in the same way.
std::optional<GatewaySettings> parseGatewaySettings(const std::string &text,
                                                    const std::string &fileName,
                                                    Diagnostics &diagnostics);

// Reads the settings file of a rank's agent, in the same way.
std::optional<RankAgentSettings> parseRankAgentSettings(const std::string &text,
                                                        const std::string &fileName,
                                                        Diagnostics &diagnostics);

// The settings as INI text that reads back.
std::string printSettings(const EntrySettings &settings);
std::string printSettings(const AgentSettings &settings);
std::string printSettings(const GatewaySettings &settings);
std::string printSettings(const RankAgentSettings &settings);

// Every key that a settings file may have.
std::vector<KeyDescription> entrySettingsKeys();
std::vector<KeyDescription> agentSettingsKeys();
std::vector<KeyDescription> gatewaySettingsKeys();
std::vector<KeyDescription> rankAgentSettingsKeys();

} // namespace burdockhead
