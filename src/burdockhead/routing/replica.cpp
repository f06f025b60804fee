#include <burdockhead/routing/replica.h>

#include <algorithm>

namespace burdockhead {

std::uint32_t Replica::limit() const
{
    if (m_load.reportedAt() && m_load.report().m_concurrencyLimit > 0)
        return m_load.report().m_concurrencyLimit;
    if (!m_placement)
        return 1;
    return std::max(1U, isCold() ? m_placement->m_coldLimit : m_placement->m_warmLimit);
}

} // namespace burdockhead
