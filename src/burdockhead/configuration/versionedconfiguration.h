#pragma once

#include <burdockhead/configuration/configuration.h>

#include <cstdint>
#include <memory>
#include <string>

namespace burdockhead {

// A configuration as the platform holds it: the object's version and the INI text, with
// the values read from it. Shared and never changed.
struct VersionedConfiguration
{
    std::uint64_t m_version = 0;
    std::string m_text;
    Configuration m_configuration;
};

using ConfigurationPointer = std::shared_ptr<const VersionedConfiguration>;

} // namespace burdockhead
