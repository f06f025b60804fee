#include <burdockhead/routing/replicaload.h>

#include <algorithm>
#include <cmath>

namespace burdockhead {

namespace {

constexpr double serviceGain = 0.3;

} // namespace

void ReplicaLoad::noteDispatch()
{
    ++m_ownInFlight;
}

void ReplicaLoad::noteEnd()
{
    if (m_ownInFlight > 0)
        --m_ownInFlight;
}

void ReplicaLoad::noteReport(const LoadReport &report, TimePoint now)
{
    m_report = report;
    m_reportedAt = now;
    m_ownAtReport = m_ownInFlight;
    if (report.m_averageServiceMicroseconds == 0)
        return;
    if (m_serviceMicroseconds == 0)
        m_serviceMicroseconds = report.m_averageServiceMicroseconds;
    m_serviceMicroseconds +=
        (report.m_averageServiceMicroseconds - m_serviceMicroseconds) * serviceGain;
}

void ReplicaLoad::forgetReport()
{
    m_report = {};
    m_reportedAt.reset();
}

double ReplicaLoad::outstanding(double mean, Duration halfLife, TimePoint now) const
{
    const double own = m_ownInFlight;
    if (!m_reportedAt)
        return std::max(own, mean);
    const double reported = static_cast<double>(m_report.m_running) + m_report.m_queued;
    const double ownSince = own - m_ownAtReport;
    const double age = std::chrono::duration<double>(now - *m_reportedAt).count();
    const double trust = std::exp2(-age / std::chrono::duration<double>(halfLife).count());
    return std::max(own, trust * (reported + ownSince) + (1 - trust) * mean);
}

} // namespace burdockhead
