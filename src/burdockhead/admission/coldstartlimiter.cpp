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
    m_limit = m_isReportedCold ? m_coldLimit : std::clamp(m_limit, m_coldLimit, m_warmLimit);
}

bool ColdStartLimiter::onHealth(const EndpointHealth &health, TimePoint now)
{
    const bool isNewBoot = m_bootId && *m_bootId != health.m_bootId;
    const bool hasTurnedCold = health.m_isReportedCold.value_or(false) && !m_isReportedCold;
    m_bootId = health.m_bootId;
    m_reportsColdState = m_reportsColdState || health.m_isReportedCold.has_value();
    const bool isSignal = isNewBoot || hasTurnedCold;
    if (isSignal)
        onSignal(ColdStartSignal::NewBootId, now);
    m_isReportedCold = health.m_isReportedCold.value_or(m_isReportedCold);
    return isSignal;
}

void ColdStartLimiter::onSignal(ColdStartSignal, TimePoint now)
{
    m_limit = m_coldLimit;
    m_completedAtLimit = 0;
    m_isReportedCold = m_reportsColdState;
    m_coldSince = now;
    ++m_epoch;
}

void ColdStartLimiter::onCompleted(std::uint64_t startedInEpoch, TimePoint)
{
    if (startedInEpoch != m_epoch || m_isReportedCold || m_limit >= m_warmLimit)
        return;
    if (++m_completedAtLimit < m_limit)
        return;
    m_completedAtLimit = 0;
    m_limit = std::min(2 * m_limit, m_warmLimit);
}

} // namespace burdockhead
