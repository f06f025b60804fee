#include <burdockhead/quarantine/crashevidence.h>
#include <burdockhead/quarantine/requestfingerprint.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockhead {

namespace {

constexpr std::size_t maxCrashes = 64;
constexpr std::size_t maxSuspectsPerCrash = 64;
constexpr std::size_t maxRequestsPerCrash = 64; // Fingerprints, up to two for each.
// Gateways tell one another times in milliseconds, and a datagram is on its way for some.
constexpr Milliseconds timeTolerance{5};
constexpr Milliseconds memoryTime{30 * 60 * 1000};
// Crashes within this time of the first one of an outage belong to it.
constexpr Milliseconds outageTime{1000};
// The same if the service has made no progress since: a group stalls for a second or two before its
// ranks fail, and takes as long to form again.
constexpr Milliseconds stalledOutageTime{3000};

// Calls the function with each part and each request that may have caused the crash.
void forEachSuspect(const CrashReport &crash, const std::function<void(const PromptPart &)> &call)
{
    for (const std::string &id : crash.m_suspects)
        call({crash.m_service, id});
    for (const auto &[id, sentAt] : crash.m_requests)
        call(requestPart(id));
}

bool isSameOutage(const CrashReport &first, const CrashReport &crash)
{
    const Duration gap = crash.m_crashedAt - first.m_crashedAt;
    return gap <= outageTime
           || (gap <= stalledOutageTime && crash.m_lastProgressAt <= first.m_crashedAt);
}

} // namespace

bool CrashEvidence::add(const CrashReport &report)
{
    const auto known = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &crash) {
        return crash.m_report.m_endpoint == report.m_endpoint
               && crash.m_report.m_service == report.m_service;
    });
    const bool isNew = known == m_crashes.end();
    if (isNew)
        makeRoom();
    CrashReport merged = isNew ? report : known->m_report;
    const CrashReport before = merged;
    merged.m_crashedAt = std::min(merged.m_crashedAt, report.m_crashedAt);
    merged.m_lastProgressAt = std::max(merged.m_lastProgressAt, report.m_lastProgressAt);
    merged.m_suspects.insert(report.m_suspects.begin(), report.m_suspects.end());
    while (merged.m_suspects.size() > maxSuspectsPerCrash)
        merged.m_suspects.erase(std::prev(merged.m_suspects.end()));
    for (const auto &[id, sentAt] : report.m_requests) {
        TimePoint &latest = merged.m_requests[id];
        latest = std::max(latest, sentAt);
    }
    while (merged.m_requests.size() > maxRequestsPerCrash)
        merged.m_requests.erase(std::prev(merged.m_requests.end()));
    if (isNew)
        m_crashes.push_back({merged, 0});
    else if (merged != before)
        known->m_report = merged;
    else
        return false;
    refresh();
    return isNew || merged.m_suspects != before.m_suspects
           || merged.m_requests.size() != before.m_requests.size();
}

bool CrashEvidence::hasSuspect(const CrashReport &crash) const
{
    bool isFound = false;
    forEachSuspect(crash, [&](const PromptPart &part) { isFound |= m_suspects.contains(part); });
    return isFound;
}

// Forgets the oldest crash all of whose suspects have cleared themselves, or else the oldest.
void CrashEvidence::makeRoom()
{
    if (m_crashes.size() < maxCrashes)
        return;
    const auto cleared =
        std::find_if(m_crashes.begin(), m_crashes.end(),
                     [this](const Crash &crash) { return !hasSuspect(crash.m_report); });
    m_crashes.erase(cleared == m_crashes.end() ? m_crashes.begin() : cleared);
}

// Recomputes the outages and the suspects.
void CrashEvidence::refresh()
{
    std::sort(m_crashes.begin(), m_crashes.end(), [](const Crash &left, const Crash &right) {
        return left.m_report.m_crashedAt < right.m_report.m_crashedAt;
    });
    m_suspects.clear();
    std::map<PromptPart, TimePoint> lastSoundAt;
    std::map<GroupName, std::size_t> currentOutages;
    for (std::size_t index = 0; index < m_crashes.size(); ++index) {
        const CrashReport &crash = m_crashes[index].m_report;
        const auto [current, isFirst] = currentOutages.try_emplace(crash.m_service, index);
        if (!isFirst && !isSameOutage(m_crashes[current->second].m_report, crash))
            current->second = index;
        m_crashes[index].m_outage = current->second;
        forEachSuspect(crash, [&](const PromptPart &part) {
            const auto known = m_lastSoundAt.find(part);
            const TimePoint soundAt = known == m_lastSoundAt.end() ? TimePoint() : known->second;
            lastSoundAt.emplace(part, soundAt);
            if (soundAt < crash.m_crashedAt)
                m_suspects.insert(part);
        });
    }
    m_lastSoundAt = std::move(lastSoundAt);
}

bool CrashEvidence::recordSound(const PromptPart &part, TimePoint at)
{
    const auto found = m_lastSoundAt.find(part);
    if (found == m_lastSoundAt.end() || found->second >= at)
        return false;
    found->second = at;
    if (!m_suspects.contains(part))
        return false;
    refresh();
    return !m_suspects.contains(part);
}

std::optional<TimePoint> CrashEvidence::lastSoundAt(const PromptPart &part) const
{
    const auto found = m_lastSoundAt.find(part);
    if (found == m_lastSoundAt.end() || found->second == TimePoint())
        return std::nullopt;
    return found->second;
}

Incrimination
CrashEvidence::incriminationOf(const PromptPart &part, TimePoint after,
                               const std::function<bool(const CrashReport &)> &isExplained) const
{
    struct Outage
    {
        std::size_t m_with = 0;
        std::size_t m_without = 0;
    };
    const auto sound = m_lastSoundAt.find(part);
    const TimePoint begin = std::max(after, sound == m_lastSoundAt.end() ? after : sound->second);
    std::map<std::size_t, Outage> outages;
    for (const Crash &crash : m_crashes) {
        const CrashReport &report = crash.m_report;
        if (report.m_service != part.m_service || report.m_crashedAt <= begin
            || isExplained(report))
            continue;
        Outage &outage = outages[crash.m_outage];
        ++(report.m_suspects.contains(part.m_id) ? outage.m_with : outage.m_without);
    }
    Incrimination incrimination;
    for (const auto &[index, outage] : outages) {
        incrimination.m_outages += outage.m_with > outage.m_without ? 1 : 0;
        if (outage.m_without == 0)
            incrimination.m_crashes = std::max(incrimination.m_crashes, outage.m_with);
    }
    return incrimination;
}

std::size_t CrashEvidence::successiveCrashesOf(
    const PromptPart &request, TimePoint after,
    const std::function<bool(const CrashReport &)> &isExplained) const
{
    std::size_t count = 0;
    TimePoint lastCrashedAt;
    for (const CrashReport *crash : crashesOf(request, after)) {
        const TimePoint sentAt = crash->m_requests.at(request.m_id);
        if ((count > 0 && sentAt + timeTolerance < lastCrashedAt) || isExplained(*crash))
            continue;
        ++count;
        lastCrashedAt = crash->m_crashedAt;
    }
    return count;
}

bool CrashEvidence::isContentOf(const PromptPart &content, const PromptPart &request) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [&](const Crash &crash) {
        const auto &requests = crash.m_report.m_requests;
        const auto contentSent = requests.find(content.m_id);
        const auto requestSent = requests.find(request.m_id);
        return contentSent != requests.end() && requestSent != requests.end()
               && contentSent->second == requestSent->second;
    });
}

std::optional<PromptPart> CrashEvidence::onlyRequestOf(const PromptPart &content,
                                                       TimePoint after) const
{
    const std::vector<const CrashReport *> crashes = crashesOf(content, after);
    if (crashes.empty())
        return std::nullopt;
    for (const auto &[id, sentAt] : crashes.front()->m_requests) {
        const PromptPart request = requestPart(id);
        const bool isInEach =
            std::all_of(crashes.begin(), crashes.end(), [&](const CrashReport *crash) {
                return crash->m_requests.contains(request.m_id);
            });
        if (isInEach && !isContentFingerprint(id) && isContentOf(content, request))
            return request;
    }
    return std::nullopt;
}

// Returns the crashes with the request since it was last answered and since that time.
std::vector<const CrashReport *> CrashEvidence::crashesOf(const PromptPart &request,
                                                          TimePoint after) const
{
    const auto sound = m_lastSoundAt.find(request);
    const TimePoint begin = std::max(after, sound == m_lastSoundAt.end() ? after : sound->second);
    std::vector<const CrashReport *> crashes;
    for (const Crash &crash : m_crashes) {
        if (crash.m_report.m_crashedAt > begin && crash.m_report.m_requests.contains(request.m_id))
            crashes.push_back(&crash.m_report);
    }
    return crashes;
}

std::optional<TimePoint> CrashEvidence::lastCrashOf(const PromptPart &request) const
{
    for (auto crash = m_crashes.rbegin(); crash != m_crashes.rend(); ++crash) {
        if (crash->m_report.m_requests.contains(request.m_id))
            return crash->m_report.m_crashedAt;
    }
    return std::nullopt;
}

bool CrashEvidence::hasCrashed(const EndpointRun &endpoint) const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(),
                       [&](const Crash &crash) { return crash.m_report.m_endpoint == endpoint; });
}

std::vector<CrashReport> CrashEvidence::crashesWithSuspectRequests() const
{
    std::vector<CrashReport> reports;
    for (auto crash = m_crashes.rbegin(); crash != m_crashes.rend(); ++crash) {
        const auto &requests = crash->m_report.m_requests;
        if (std::any_of(requests.begin(), requests.end(), [this](const auto &request) {
                return m_suspects.contains(requestPart(request.first));
            }))
            reports.push_back(crash->m_report);
    }
    return reports;
}

std::vector<CrashReport> CrashEvidence::crashesAfter(TimePoint time) const
{
    std::vector<CrashReport> reports;
    for (auto crash = m_crashes.rbegin(); crash != m_crashes.rend(); ++crash) {
        if (crash->m_report.m_crashedAt > time)
            reports.push_back(crash->m_report);
    }
    return reports;
}

void CrashEvidence::removeExpired(TimePoint now)
{
    const auto removed = std::erase_if(m_crashes, [now](const Crash &crash) {
        return now - crash.m_report.m_crashedAt > memoryTime;
    });
    if (removed > 0)
        refresh();
}

} // namespace burdockhead
