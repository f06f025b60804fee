#include <burdockhead/quarantine/crashdetector.h>

#include <algorithm>

namespace burdockhead {

namespace {

// The connections of an endpoint that crashes break within milliseconds; a gateway that is busy
// notices it somewhat later.
constexpr Milliseconds maxBreakSpread{500};
// An endpoint that responds within this time has not crashed: a new run takes seconds to start.
constexpr Milliseconds minRestartTime{1000};
// Confirmation may have to wait until service discovery has learned of the crash.
constexpr Milliseconds maxConfirmationTime{10000};

} // namespace

void CrashDetector::recordBroken(const EndpointRun &endpoint, const GroupName &service,
                                 const PromptParts &suspects, TimePoint lastProgressAt,
                                 TimePoint now)
{
    std::erase_if(m_breaks, [now](const auto &item) {
        return now - item.second.m_lastBrokenAt > maxConfirmationTime;
    });
    Break &broken = m_breaks[endpoint.m_name];
    if (broken.m_report.m_endpoint != endpoint || now - broken.m_lastBrokenAt > maxBreakSpread)
        broken = {{endpoint, service, now, lastProgressAt, {}, {}}, now};
    broken.m_lastBrokenAt = now;
    for (const PromptPart &part : suspects)
        broken.m_report.m_suspects.insert(part.m_id);
}

void CrashDetector::recordRequest(const EndpointRun &endpoint, const PromptParts &fingerprints,
                                  TimePoint sentAt)
{
    const auto found = m_breaks.find(endpoint.m_name);
    if (found == m_breaks.end() || found->second.m_report.m_endpoint != endpoint)
        return;
    for (const PromptPart &fingerprint : fingerprints) {
        TimePoint &latest = found->second.m_report.m_requests[fingerprint.m_id];
        latest = std::max(latest, sentAt);
    }
}

void CrashDetector::recordAlive(const EndpointName &endpoint, TimePoint now)
{
    const auto found = m_breaks.find(endpoint);
    if (found != m_breaks.end() && now - found->second.m_lastBrokenAt < minRestartTime)
        m_breaks.erase(found);
}

std::optional<CrashReport> CrashDetector::recordGone(const EndpointRun &endpoint, TimePoint now)
{
    const auto found = m_breaks.find(endpoint.m_name);
    if (found == m_breaks.end())
        return std::nullopt;
    const Break broken = found->second;
    if (endpoint.m_startedAt != 0 && broken.m_report.m_endpoint != endpoint)
        return std::nullopt;
    m_breaks.erase(found);
    if (now - broken.m_lastBrokenAt > maxConfirmationTime)
        return std::nullopt;
    return broken.m_report;
}

} // namespace burdockhead
