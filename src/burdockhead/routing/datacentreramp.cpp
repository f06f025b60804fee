#include <burdockhead/routing/datacentreramp.h>

#include <algorithm>

namespace burdockhead {

void DataCentreRamp::begin(double coldShare, double warmShare)
{
    m_coldShare = std::max(1.0, coldShare);
    m_warmShare = std::max(m_coldShare, warmShare);
    m_window = m_coldShare;
    m_active = true;
}

void DataCentreRamp::noteCompleted()
{
    if (!m_active)
        return;
    m_window += 1;
    m_active = m_window < m_warmShare;
}

void DataCentreRamp::noteFailed()
{
    if (m_active)
        m_window = std::max(m_coldShare, m_window / 2);
}

} // namespace burdockhead
