#pragma once

#include <burdockhead/configuration/configuration.h>
#include <burdockhead/settings/diagnostic.h>
#include <burdockhead/settings/keydescription.h>

#include <optional>
#include <string>

namespace burdockhead {

// Parses and validates a configuration in INI format. Returns no value on any error; each
// diagnostic gives file, line, section and key. The lists of the result are sorted by name.
std::optional<Configuration>
parseConfiguration(const std::string &text, const std::string &fileName, Diagnostics &diagnostics);

// Serializes a configuration as INI text. Every key is written and sections are sorted by type
// and name, so equal configurations give equal texts and a change gives a small diff.
std::string printConfiguration(const Configuration &configuration);

// Describes every key of a configuration.
std::vector<KeyDescription> configurationKeys();

} // namespace burdockhead
