#pragma once

#include <burdockhead/configuration/configuration.h>
#include <burdockhead/settings/diagnostic.h>
#include <burdockhead/settings/keydescription.h>

#include <optional>
#include <string>

namespace burdockhead {

// Reads a configuration from INI text and checks it as a whole. None when anything is
// wrong; each diagnostic names file, line, section and key. The lists come back sorted.
std::optional<Configuration>
parseConfiguration(const std::string &text, const std::string &fileName, Diagnostics &diagnostics);

// The configuration as INI text. Every key is written, sections are sorted by type and
// name, so equal configurations give equal texts and a change gives a small difference.
std::string printConfiguration(const Configuration &configuration);

// Every key that a configuration may have.
std::vector<KeyDescription> configurationKeys();

} // namespace burdockhead
