#pragma once

#include <burdockhead/settings/diagnostic.h>
#include <burdockhead/settings/keydescription.h>
#include <burdockhead/settings/processsettings.h>

#include <optional>
#include <string>

namespace burdockhead {

// Parses an entry's settings file. Returns no value on any error; each diagnostic gives
// file, line, section and key.
std::optional<EntrySettings>
parseEntrySettings(const std::string &text, const std::string &fileName, Diagnostics &diagnostics);

// Parses an agent's settings file in the same way.
std::optional<AgentSettings>
parseAgentSettings(const std::string &text, const std::string &fileName, Diagnostics &diagnostics);

// Parses a gateway's settings file in the same way.
std::optional<GatewaySettings> parseGatewaySettings(const std::string &text,
                                                    const std::string &fileName,
                                                    Diagnostics &diagnostics);

// Parses the settings file of a rank's agent in the same way.
std::optional<RankAgentSettings> parseRankAgentSettings(const std::string &text,
                                                        const std::string &fileName,
                                                        Diagnostics &diagnostics);

// Serializes settings as INI text that parses to equal settings.
std::string printSettings(const EntrySettings &settings);
std::string printSettings(const AgentSettings &settings);
std::string printSettings(const GatewaySettings &settings);
std::string printSettings(const RankAgentSettings &settings);

// Describes every key of the settings files.
std::vector<KeyDescription> entrySettingsKeys();
std::vector<KeyDescription> agentSettingsKeys();
std::vector<KeyDescription> gatewaySettingsKeys();
std::vector<KeyDescription> rankAgentSettingsKeys();

} // namespace burdockhead
