#include <burdockhead/routing/grouprecord.h>

namespace burdockhead {

namespace {

constexpr double meanGain = 0.05;

} // namespace

void GroupRecord::noteReport(const LoadReport &report)
{
    const double outstanding = static_cast<double>(report.m_running) + report.m_queued;
    m_meanOutstanding += (outstanding - m_meanOutstanding) * meanGain;
    if (m_meanLimit == 0)
        m_meanLimit = report.m_concurrencyLimit;
    m_meanLimit += (report.m_concurrencyLimit - m_meanLimit) * meanGain;
    const double service = report.m_averageServiceMicroseconds;
    if (service == 0)
        return;
    if (m_meanServiceMicroseconds == 0)
        m_meanServiceMicroseconds = service;
    m_meanServiceMicroseconds += (service - m_meanServiceMicroseconds) * meanGain;
}

} // namespace burdockhead
