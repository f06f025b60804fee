#include <burdockhead/routing/grouprecord.h>

namespace burdockhead {

namespace {

constexpr double smoothingFactor = 0.05;

} // namespace

void GroupRecord::recordReport(const LoadReport &report)
{
    const double outstanding = static_cast<double>(report.m_running) + report.m_queued;
    m_averageOutstanding += (outstanding - m_averageOutstanding) * smoothingFactor;
    if (m_averageLimit == 0)
        m_averageLimit = report.m_concurrencyLimit;
    m_averageLimit += (report.m_concurrencyLimit - m_averageLimit) * smoothingFactor;
    const double service = report.m_averageServiceMicroseconds;
    if (service == 0)
        return;
    if (m_averageServiceMicroseconds == 0)
        m_averageServiceMicroseconds = service;
    m_averageServiceMicroseconds += (service - m_averageServiceMicroseconds) * smoothingFactor;
}

} // namespace burdockhead
