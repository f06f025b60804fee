#include <burdockhead/quarantine/crashevidence.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdockhead {

namespace {

constexpr std::size_t maxCrashes = 64;
constexpr std::size_t maxSuspectsPerCrash = 64;
constexpr Milliseconds memoryTime{30 * 60 * 1000};
// Crashes within this time of the first one of an outage belong to it.
constexpr Milliseconds outageTime{1000};
// The same if the service has made no progress since: a group stalls for a second or two before its
// ranks fail, and takes as long to form again.
constexpr Milliseconds stalledOutageTime{3000};

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
    if (isNew && m_crashes.size() >= maxCrashes)
        m_crashes.erase(m_crashes.begin());
    CrashReport merged = isNew ? report : known->m_report;
    const CrashReport before = merged;
    merged.m_crashedAt = std::min(merged.m_crashedAt, report.m_crashedAt);
    merged.m_lastProgressAt = std::max(merged.m_lastProgressAt, report.m_lastProgressAt);
    merged.m_suspects.insert(report.m_suspects.begin(), report.m_suspects.end());
    while (merged.m_suspects.size() > maxSuspectsPerCrash)
        merged.m_suspects.erase(std::prev(merged.m_suspects.end()));
    if (isNew)
        m_crashes.push_back({merged, 0});
    else if (merged != before)
        known->m_report = merged;
    else
        return false;
    refresh();
    return isNew || merged.m_suspects != before.m_suspects;
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
        for (const std::string &id : crash.m_suspects) {
            const PromptPart part{crash.m_service, id};
            const auto known = m_lastSoundAt.find(part);
            const TimePoint soundAt = known == m_lastSoundAt.end() ? TimePoint() : known->second;
            lastSoundAt.emplace(part, soundAt);
            if (soundAt < crash.m_crashedAt)
                m_suspects.insert(part);
        }
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
