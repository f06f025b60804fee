#pragma once

#include <burdockhead/configuration/configurationparser.h>
#include <burdockhead/configuration/textpatch.h>
#include <burdockhead/configuration/versionedconfiguration.h>

#include <deque>

namespace burdockhead {

// Holds the configuration with the highest version offered so far and a few before it, from
// which patches are made. Never goes back to a lower version. Not thread safe.
class ConfigurationStore
{
public:
    explicit ConfigurationStore(ConfigurationParser parser);

    // Takes a configuration if its version is higher than the one held and its text is
    // valid. True when it was taken; the failure says why not.
    bool offer(std::uint64_t version, const std::string &text, Failure &failure);

    // The configuration held; null before the first.
    const ConfigurationPointer &latest() const { return m_held; }

    // The version held; 0 before the first.
    std::uint64_t version() const { return m_held ? m_held->m_version : 0; }

    // A patch from an earlier version to the one held; none when that version is not kept.
    std::optional<TextPatch> patchFrom(std::uint64_t version) const;

private:
    ConfigurationParser m_parser;
    ConfigurationPointer m_held;
    std::deque<ConfigurationPointer> m_earlier;
};

} // namespace burdockhead
