#include <burdockhead/admission/coldstartlimiter.h>

#include <algorithm>

namespace burdockhead {

ColdStartLimiter::ColdStartLimiter(std::uint32_t coldLimit, std::uint32_t warmLimit)
    : m_coldLimit(coldLimit)
    , m_warmLimit(std::max(coldLimit, warmLimit))
    , m_limit(coldLimit)
{}

void ColdStartLimiter::setLimits(std::uint32_t coldLimit, std::uint32_t warmLimit)
{
    m_coldLimit = coldLimit;
    m_warmLimit = std::max(coldLimit, warmLimit);
    m_limit = m_saysCold ? m_coldLimit : std::clamp(m_limit, m_coldLimit, m_warmLimit);
}

bool ColdStartLimiter::healthSeen(const EndpointHealth &health, TimePoint now)
{
    const bool newBoot = m_bootId && *m_bootId != health.m_bootId;
    const bool turnedCold = health.m_saysCold.value_or(false) && !m_saysCold;
    m_bootId = health.m_bootId;
    m_reportsColdness = m_reportsColdness || health.m_saysCold.has_value();
    const bool isSign = newBoot || turnedCold;
    if (isSign)
        sign(ColdSign::NewBootId, now);
    m_saysCold = health.m_saysCold.value_or(m_saysCold);
    return isSign;
}

void ColdStartLimiter::sign(ColdSign, TimePoint now)
{
    m_limit = m_coldLimit;
    m_completedAtLimit = 0;
    m_saysCold = m_reportsColdness;
    m_coldSince = now;
    ++m_epoch;
}

void ColdStartLimiter::completed(std::uint64_t startedInEpoch, TimePoint)
{
    if (startedInEpoch != m_epoch || m_saysCold || m_limit >= m_warmLimit)
        return;
    if (++m_completedAtLimit < m_limit)
        return;
    m_completedAtLimit = 0;
    m_limit = std::min(2 * m_limit, m_warmLimit);
}

} // namespace burdockhead
