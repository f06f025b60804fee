#include <burdockhead/configuration/configurationstore.h>

namespace burdockhead {

namespace {

constexpr std::size_t versionsKept = 4;

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
    if (m_held)
        m_earlier.push_back(m_held);
    if (m_earlier.size() > versionsKept)
        m_earlier.pop_front();
    m_held = std::make_shared<const VersionedConfiguration>(
        VersionedConfiguration{version, text, std::move(*configuration)});
    return true;
}

std::optional<TextPatch> ConfigurationStore::patchFrom(std::uint64_t version) const
{
    for (const ConfigurationPointer &earlier : m_earlier) {
        if (earlier->m_version == version)
            return TextPatch::between(earlier->m_text, m_held->m_text);
    }
    return std::nullopt;
}

} // namespace burdockhead
