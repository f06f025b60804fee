#include <burdockhead/routing/datacentreramp.h>

#include <algorithm>

namespace burdockhead {

void DataCentreRamp::begin(double coldShare, double warmShare)
{
    m_coldShare = std::max(1.0, coldShare);
    m_warmShare = std::max(m_coldShare, warmShare);
    m_window = m_coldShare;
    m_isActive = true;
}

void DataCentreRamp::onCompleted()
{
    if (!m_isActive)
        return;
    m_window += 1;
    m_isActive = m_window < m_warmShare;
}

void DataCentreRamp::onFailed()
{
    if (m_isActive)
        m_window = std::max(m_coldShare, m_window / 2);
}

} // namespace burdockhead
