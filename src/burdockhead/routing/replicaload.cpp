#include <burdockhead/routing/replicaload.h>

#include <algorithm>
#include <cmath>

namespace burdockhead {

namespace {

constexpr double smoothingFactor = 0.3;

} // namespace

void ReplicaLoad::onDispatched()
{
    ++m_localInFlight;
}

void ReplicaLoad::onAttemptEnded()
{
    if (m_localInFlight > 0)
        --m_localInFlight;
}

void ReplicaLoad::recordReport(const LoadReport &report, TimePoint now)
{
    m_report = report;
    m_reportedAt = now;
    m_localInFlightAtReport = m_localInFlight;
    if (report.m_averageServiceMicroseconds == 0)
        return;
    if (m_serviceMicroseconds == 0)
        m_serviceMicroseconds = report.m_averageServiceMicroseconds;
    m_serviceMicroseconds +=
        (report.m_averageServiceMicroseconds - m_serviceMicroseconds) * smoothingFactor;
}

void ReplicaLoad::forgetReport()
{
    m_report = {};
    m_reportedAt.reset();
}

double ReplicaLoad::estimatedOutstanding(double average, Duration halfLife, TimePoint now) const
{
    const double local = m_localInFlight;
    if (!m_reportedAt)
        return std::max(local, average);
    const double reported = static_cast<double>(m_report.m_running) + m_report.m_queued;
    const double localSinceReport = local - m_localInFlightAtReport;
    const double age = std::chrono::duration<double>(now - *m_reportedAt).count();
    const double reportWeight = std::exp2(-age / std::chrono::duration<double>(halfLife).count());
    return std::max(local,
                    reportWeight * (reported + localSinceReport) + (1 - reportWeight) * average);
}

} // namespace burdockhead
