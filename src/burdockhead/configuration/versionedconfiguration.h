#pragma once

#include <burdockhead/configuration/configuration.h>

#include <cstdint>
#include <memory>
#include <string>

namespace burdockhead {

// A configuration stored in the platform: the object's version, the INI text and the values parsed
// from it. Shared and immutable.
struct VersionedConfiguration
{
    std::uint64_t m_version = 0;
    std::string m_text;
    Configuration m_configuration;
};

using ConfigurationPointer = std::shared_ptr<const VersionedConfiguration>;

} // namespace burdockhead
