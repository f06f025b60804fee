#include <burdockhead/configuration/configurationstore.h>

namespace burdockhead {

namespace {

constexpr std::size_t maxPreviousVersions = 4;

} // namespace

ConfigurationStore::ConfigurationStore(ConfigurationParser parser)
    : m_parser(std::move(parser))
{}

bool ConfigurationStore::offer(std::uint64_t version, const std::string &text, Failure &failure)
{
    if (version <= this->version()) {
        failure = {ErrorKind::ConfigurationConflict, "the version is not higher"};
        return false;
    }
    auto configuration = m_parser(text, failure);
    if (!configuration)
        return false;
    if (m_latest)
        m_previous.push_back(m_latest);
    if (m_previous.size() > maxPreviousVersions)
        m_previous.pop_front();
    m_latest = std::make_shared<const VersionedConfiguration>(
        VersionedConfiguration{version, text, std::move(*configuration)});
    return true;
}

std::optional<TextPatch> ConfigurationStore::patchFrom(std::uint64_t version) const
{
    for (const ConfigurationPointer &previous : m_previous) {
        if (previous->m_version == version)
            return TextPatch::between(previous->m_text, m_latest->m_text);
    }
    return std::nullopt;
}

} // namespace burdockhead
