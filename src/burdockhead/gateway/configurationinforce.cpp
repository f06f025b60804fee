#include <burdockhead/gateway/configurationinforce.h>

#include <algorithm>

namespace burdockhead {

bool ConfigurationInForce::offer(const GatewayConfigurationPointer &configuration,
                                 std::uint64_t era)
{
    if (m_current && configuration->version() < m_current->version())
        return false;
    const bool isHigher = !m_current || configuration->version() > m_current->version();
    const bool isSame = m_current && *configuration == *m_current;
    if (!isHigher && !isSame && era <= m_era)
        return false;
    if (!isSame)
        m_current = configuration;
    m_era = isHigher ? era : std::max(m_era, era);
    return !isSame;
}

void ConfigurationInForce::recordStored(std::optional<std::uint64_t> version, TimePoint now)
{
    if (!m_current || (version && *version >= m_current->version()))
        m_missingSince.reset();
    else if (!m_missingSince)
        m_missingSince = now;
}

} // namespace burdockhead
