#pragma once

#include <burdockhead/configuration/configurationparser.h>
#include <burdockhead/configuration/textpatch.h>
#include <burdockhead/configuration/versionedconfiguration.h>

#include <deque>

namespace burdockhead {

// Stores the configuration with the highest version offered so far, and a few previous ones as
// bases for patches. Never returns to a lower version. Not thread-safe.
class ConfigurationStore
{
public:
    explicit ConfigurationStore(ConfigurationParser parser);

    // Stores a configuration if its version is higher than the stored one and its text is valid.
    // Returns true if it was stored; otherwise sets the failure.
    bool offer(std::uint64_t version, const std::string &text, Failure &failure);

    // Returns the stored configuration; null before the first.
    const ConfigurationPointer &latest() const { return m_latest; }

    // Returns the stored version; 0 before the first.
    std::uint64_t version() const { return m_latest ? m_latest->m_version : 0; }

    // Returns a patch from a previous version to the stored one; none if the previous version is
    // not stored any more.
    std::optional<TextPatch> patchFrom(std::uint64_t version) const;

private:
    ConfigurationParser m_parser;
    ConfigurationPointer m_latest;
    std::deque<ConfigurationPointer> m_previous;
};

} // namespace burdockhead
