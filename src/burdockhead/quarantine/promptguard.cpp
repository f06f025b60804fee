#include <burdockhead/quarantine/promptguard.h>
#include <burdockhead/quarantine/requestfingerprint.h>

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace burdockhead {

namespace {

// Time after new evidence in which other gateways add what they know.
constexpr Milliseconds evidenceTime{300};
// How long crashes are told to other gateways, by which each of hundreds has heard of them.
constexpr Milliseconds tellingTime{10000};
constexpr std::size_t maxCrashesToTell = 6;
constexpr std::size_t maxOlderCrashesToTell = 2;
constexpr std::size_t maxSoundPartsToTell = 64;
// Quarantines are told less often, a few at a time.
constexpr Milliseconds entriesInterval{2000};
constexpr std::size_t maxEntriesToTell = 16;
// A trial without a result is repeated after this time.
constexpr Milliseconds probeTime{15000};

// A part in fewer of the requests than this is uncommon: by chance it is hardly a suspect twice.
constexpr double commonShare = 0.1;
// A part in more of the requests than this stands for the service itself.
constexpr double generalShare = 0.67;
// Outages without a sound answer in between after which a part is put in quarantine.
constexpr std::size_t outagesOfUncommonPart = 2;
constexpr std::size_t outagesOfCommonPart = 3;
constexpr std::size_t outagesOfGeneralPart = 5;
// The same for crashes within one outage: hardly any part is a suspect of this many by chance.
constexpr std::size_t crashesOfUncommonPart = 3;

// Crashes one after the other under one request, without a whole answer to it in between.
constexpr std::size_t crashesOfFatalRequest = 3;
// The same under a content of which other requests are known to be sound.
constexpr std::size_t crashesOfSharedContent = 6;
// How long a service is left an endpoint that a suspect of its last crash doesn't get: crashed ones
// take some seconds to start.
constexpr Milliseconds sparingTime{10000};

} // namespace

PromptGuard::PromptGuard(ProcessName localName)
    : m_localName(std::move(localName))
{}

void PromptGuard::setPosition(std::size_t index, std::size_t count)
{
    m_index = index;
    m_count = std::max<std::size_t>(count, 1);
}

void PromptGuard::recordArrival(const GroupName &service, const PromptParts &parts)
{
    if (!parts.empty())
        m_recentPrompts.record(service, parts);
}

// Returns whether this is the one of all gateways that takes risks with the part.
bool PromptGuard::isResponsibleFor(const std::string &id) const
{
    return XXH3_64bits(id.data(), id.size()) % m_count == m_index;
}

// One gateway makes the trials of a part, one at a time. Requests are not tried.
bool PromptGuard::mayProbe(const QuarantineEntry &entry, TimePoint now) const
{
    if (now < entry.m_probeAt || isRequestFingerprint(entry.m_part.m_id))
        return false;
    const auto probed = m_probedUntil.find(entry.m_part);
    if (probed != m_probedUntil.end() && now < probed->second)
        return false;
    return isResponsibleFor(entry.m_part.m_id);
}

// Returns when the request was last put in quarantine or released.
TimePoint PromptGuard::lastReleaseOf(const PromptPart &fingerprint) const
{
    const auto found = m_quarantines.entries().find(fingerprint);
    return found == m_quarantines.entries().end() ? TimePoint() : found->second.m_changedAt;
}

// Returns whether something else in quarantine explains the crash: another request, which for a
// content is one with another content, or for a content, which many requests may share, a part of
// their prompts.
bool PromptGuard::isExplained(const CrashReport &crash, const PromptPart &fingerprint) const
{
    const bool isContent = isContentFingerprint(fingerprint.m_id);
    const bool hasOtherRequest =
        std::any_of(crash.m_requests.begin(), crash.m_requests.end(), [&](const auto &request) {
            const PromptPart other = requestPart(request.first);
            return other != fingerprint && m_quarantines.findActive(other) != nullptr
                   && !(isContent && m_evidence.isContentOf(fingerprint, other));
        });
    return hasOtherRequest
           || (isContent
               && std::any_of(crash.m_suspects.begin(), crash.m_suspects.end(),
                              [&](const std::string &id) {
                                  return m_quarantines.findActive({crash.m_service, id}) != nullptr;
                              }));
}

// Returns the crashes that count against the request since it was last released.
std::size_t PromptGuard::crashesOfRequest(const PromptPart &fingerprint) const
{
    return m_evidence.successiveCrashesOf(
        fingerprint, lastReleaseOf(fingerprint),
        [&](const CrashReport &crash) { return isExplained(crash, fingerprint); });
}

std::size_t PromptGuard::crashesNeeded(const PromptPart &fingerprint) const
{
    return isContentFingerprint(fingerprint.m_id) && isKnownAsSound(fingerprint)
               ? crashesOfSharedContent
               : crashesOfFatalRequest;
}

// Returns the one request that went through all crashes of the part, if that is a content.
std::optional<PromptPart> PromptGuard::onlyRequestOf(const PromptPart &part) const
{
    return isContentFingerprint(part.m_id) ? m_evidence.onlyRequestOf(part, lastReleaseOf(part))
                                           : std::nullopt;
}

// Returns whether requests with the part are sent with care. Contents that sound requests share are
// suspects of many crashes by chance, and those of a request in quarantine because of that one.
bool PromptGuard::isHeldBack(const PromptPart &part) const
{
    if (m_quarantines.findActive(part) != nullptr)
        return true;
    if (!m_evidence.isSuspect(part))
        return false;
    const auto request = onlyRequestOf(part);
    if (request && m_quarantines.findActive(*request) != nullptr)
        return false;
    return crashesNeeded(part) == crashesOfFatalRequest
           || crashesOfRequest(part) >= crashesOfFatalRequest;
}

// Returns whether one other gateway alone may send the request, since the next crash would be one
// too many; or none until it has been decided on. A content is left to others only if it is more
// than one request.
bool PromptGuard::isLeftToOthers(const PromptPart &part, TimePoint now) const
{
    if (!isRequestFingerprint(part.m_id) || onlyRequestOf(part))
        return false;
    const std::size_t crashes = crashesOfRequest(part);
    const bool isDue = crashes >= crashesNeeded(part)
                       && (!isContentFingerprint(part.m_id) || hasCrashedRecently(part, now));
    if (isDue)
        return m_decideOnRequestsAt != TimePoint::max() || !isResponsibleFor(part.m_id);
    return crashes + 1 >= crashesOfFatalRequest && hasCrashedRecently(part, now)
           && !isResponsibleFor(part.m_id);
}

const QuarantineEntry *PromptGuard::findQuarantine(const PromptParts &parts, TimePoint now) const
{
    for (const PromptPart &part : parts) {
        const QuarantineEntry *entry = m_quarantines.findActive(part);
        if (entry != nullptr && !mayProbe(*entry, now))
            return entry;
    }
    return nullptr;
}

PromptVerdict PromptGuard::judge(const PromptParts &parts, TimePoint now) const
{
    if (findQuarantine(parts, now) != nullptr)
        return PromptVerdict::Refuse;
    PromptVerdict verdict = PromptVerdict::Admit;
    for (const PromptPart &part : parts) {
        if (!isHeldBack(part))
            continue;
        if (isLeftToOthers(part, now))
            return PromptVerdict::Refuse;
        if (m_attempts.contains(part))
            return PromptVerdict::Wait;
        verdict = PromptVerdict::Isolate;
    }
    return verdict;
}

void PromptGuard::beginAttempt(const PromptParts &fingerprints)
{
    for (const PromptPart &fingerprint : fingerprints)
        ++m_attempts[fingerprint];
}

void PromptGuard::endAttempt(const PromptParts &fingerprints)
{
    for (const PromptPart &fingerprint : fingerprints) {
        const auto found = m_attempts.find(fingerprint);
        if (found != m_attempts.end() && --found->second == 0)
            m_attempts.erase(found);
    }
}

bool PromptGuard::needsSpareEndpoint(const PromptParts &fingerprints, TimePoint now) const
{
    return std::any_of(fingerprints.begin(), fingerprints.end(), [&](const PromptPart &part) {
        return isHeldBack(part) && hasCrashedRecently(part, now);
    });
}

bool PromptGuard::hasCrashedRecently(const PromptPart &fingerprint, TimePoint now) const
{
    const auto crashedAt = m_evidence.lastCrashOf(fingerprint);
    return crashedAt && now < *crashedAt + sparingTime;
}

void PromptGuard::onSent(const PromptParts &parts, TimePoint now)
{
    for (const PromptPart &part : parts) {
        if (m_quarantines.findActive(part) != nullptr)
            m_probedUntil[part] = now + probeTime;
    }
}

SoundParts &PromptGuard::soundTableOf(const PromptPart &part)
{
    if (!isRequestFingerprint(part.m_id))
        return m_soundParts;
    return isContentFingerprint(part.m_id) ? m_soundContents : m_soundRequests;
}

void PromptGuard::recordSound(const PromptParts &parts, TimePoint now)
{
    for (const PromptPart &part : parts) {
        soundTableOf(part).record(part, now);
        m_hasNews |= m_evidence.recordSound(part, now);
        if (const auto lifted = m_quarantines.lift(part, m_localName, now)) {
            m_events.emplace_back(*lifted);
            m_hasNews = true;
        }
    }
}

void PromptGuard::recordBroken(const EndpointRun &endpoint, const GroupName &service,
                               const PromptParts &suspects, TimePoint now,
                               const std::optional<BrokenRequest> &request)
{
    const auto progress = m_lastProgressAt.find(service);
    const TimePoint lastProgressAt =
        progress == m_lastProgressAt.end() ? TimePoint() : progress->second;
    m_detector.recordBroken(endpoint, service, suspects, lastProgressAt, now);
    if (request)
        m_detector.recordRequest(endpoint, request->m_fingerprints, request->m_sentAt);
}

void PromptGuard::recordAlive(const EndpointName &endpoint, TimePoint now)
{
    m_detector.recordAlive(endpoint, now);
}

void PromptGuard::recordGone(const EndpointRun &endpoint, TimePoint now)
{
    const auto report = m_detector.recordGone(endpoint, now);
    if (!report)
        return;
    m_events.emplace_back(*report);
    if (report->hasSuspects())
        add(*report, now);
}

void PromptGuard::add(const CrashReport &report, TimePoint now)
{
    if (!m_evidence.add(report))
        return;
    for (const std::string &id : report.m_suspects) {
        const PromptPart part{report.m_service, id};
        if (const auto soundAt = m_soundParts.lastAt(part))
            m_evidence.recordSound(part, *soundAt);
    }
    for (const auto &[id, sentAt] : report.m_requests) {
        const PromptPart part = requestPart(id);
        if (const auto soundAt = soundTableOf(part).lastAt(part))
            m_evidence.recordSound(part, *soundAt);
    }
    if (!report.m_suspects.empty())
        m_decideAt = std::min(m_decideAt, now + evidenceTime);
    if (!report.m_requests.empty())
        m_decideOnRequestsAt = std::min(m_decideOnRequestsAt, now + evidenceTime);
    m_hasNews = true;
}

// If several requests went through as many crashes, endpoints may have another reason to crash,
// such as too many requests as they start, or one of these is guilty; then the next crash tells.
void PromptGuard::decideOnRequests(TimePoint now)
{
    m_decideOnRequestsAt = TimePoint::max();
    std::optional<PromptPart> culprit;
    std::size_t mostCrashes = 0;
    for (const PromptPart &part : m_evidence.suspects()) {
        if (!isRequestFingerprint(part.m_id) || m_quarantines.findActive(part) != nullptr)
            continue;
        const std::size_t crashes = crashesOfRequest(part);
        if (crashes < std::max(mostCrashes, crashesNeeded(part)) || onlyRequestOf(part).has_value())
            continue;
        culprit = crashes > mostCrashes ? std::optional(part) : std::nullopt;
        mostCrashes = crashes;
    }
    if (!culprit)
        return;
    m_events.emplace_back(m_quarantines.impose(*culprit, mostCrashes, m_localName, now));
    m_hasNews = true;
}

// Returns what speaks against the part since it was last decided on. What a quarantine explains
// counts only against a part of which nothing good is known.
Incrimination PromptGuard::incriminationOf(const PromptPart &part) const
{
    const auto found = m_quarantines.entries().find(part);
    TimePoint after;
    if (found != m_quarantines.entries().end())
        after = found->second.m_isActive ? found->second.m_probeAt : found->second.m_changedAt;
    const bool mayBeExplained = isKnownAsSound(part) || shareOf(part) > generalShare;
    return m_evidence.incriminationOf(part, after, [&](const CrashReport &crash) {
        const auto isQuarantined = [this](const PromptPart &suspect) {
            return m_quarantines.findActive(suspect) != nullptr;
        };
        return mayBeExplained
               && (std::any_of(crash.m_suspects.begin(), crash.m_suspects.end(),
                               [&](const std::string &id) {
                                   return isQuarantined({crash.m_service, id});
                               })
                   || std::any_of(crash.m_requests.begin(), crash.m_requests.end(),
                                  [&](const auto &request) {
                                      return isQuarantined(requestPart(request.first));
                                  }));
    });
}

bool PromptGuard::isKnownAsSound(const PromptPart &part) const
{
    return m_evidence.lastSoundAt(part).has_value();
}

// A gateway that has seen few requests takes each part for a general one, and so leaves the
// decision to others.
double PromptGuard::shareOf(const PromptPart &part) const
{
    return m_recentPrompts.shareOf(part).value_or(1);
}

std::size_t PromptGuard::outagesNeeded(const PromptPart &part) const
{
    if (m_quarantines.findActive(part) != nullptr)
        return 1; // A trial.
    const double share = shareOf(part);
    if (share > generalShare)
        return outagesOfGeneralPart;
    return share >= commonShare || isKnownAsSound(part) ? outagesOfCommonPart
                                                        : outagesOfUncommonPart;
}

void PromptGuard::refresh(TimePoint now)
{
    m_evidence.removeExpired(now);
    if (now >= m_decideAt)
        decide(now);
    if (now >= m_decideOnRequestsAt)
        decideOnRequests(now);
}

void PromptGuard::decide(TimePoint now)
{
    m_decideAt = TimePoint::max();
    struct Culprit
    {
        PromptPart m_part;
        std::size_t m_outages = 0;
        std::size_t m_needed = 0;
    };
    std::vector<Culprit> culprits;
    std::size_t fewestNeeded = outagesOfGeneralPart;
    for (const PromptPart &part : m_evidence.suspects()) {
        if (isRequestFingerprint(part.m_id))
            continue;
        const Incrimination incrimination = incriminationOf(part);
        const std::size_t needed = outagesNeeded(part);
        const bool hasCrashedMany =
            needed <= outagesOfUncommonPart && incrimination.m_crashes >= crashesOfUncommonPart;
        if (incrimination.m_outages < needed && !hasCrashedMany)
            continue;
        culprits.push_back({part, incrimination.m_outages, needed});
        fewestNeeded = std::min(fewestNeeded, needed);
    }
    // A common part may be a suspect of all crashes by chance, and an uncommon one explains them.
    for (const Culprit &culprit : culprits) {
        if (culprit.m_needed > fewestNeeded)
            continue;
        m_probedUntil.erase(culprit.m_part);
        m_events.emplace_back(
            m_quarantines.impose(culprit.m_part, culprit.m_outages, m_localName, now));
        m_hasNews = true;
    }
}

bool PromptGuard::lift(const PromptPart &part, TimePoint now)
{
    const auto lifted = m_quarantines.lift(part, m_localName, now);
    if (!lifted)
        return false;
    m_events.emplace_back(*lifted);
    m_hasNews = true;
    return true;
}

void PromptGuard::receive(const QuarantineMessage &message, TimePoint now)
{
    for (const CrashReport &crash : message.m_crashes) {
        recordGone(crash.m_endpoint, now);
        add(crash, now);
    }
    for (const auto &[part, soundAt] : message.m_soundParts) {
        if (m_evidence.recordSound(part, soundAt))
            m_hasNews = true;
    }
    for (const QuarantineEntry &entry : message.m_entries) {
        if (!m_quarantines.merge(entry))
            continue;
        m_events.emplace_back(entry);
        m_hasNews = true;
    }
}

QuarantineMessage PromptGuard::newsToSend(TimePoint now)
{
    m_hasNews = false;
    m_sendEntriesAt = now;
    return messageToSend(now);
}

// Crashes that may still count against a request are told by turns, however long ago they were, so
// that gateways that start or were cut off know them.
void PromptGuard::addSuspectCrashes(QuarantineMessage &message)
{
    const std::vector<CrashReport> crashes = m_evidence.crashesWithSuspectRequests();
    for (std::size_t count = 0; count < std::min(crashes.size(), maxOlderCrashesToTell); ++count)
        message.m_crashes.push_back(crashes[m_nextCrash++ % crashes.size()]);
}

QuarantineMessage PromptGuard::messageToSend(TimePoint now)
{
    QuarantineMessage message;
    message.m_crashes = m_evidence.crashesAfter(now - tellingTime);
    message.m_crashes.resize(std::min(message.m_crashes.size(), maxCrashesToTell));
    if (now >= m_sendEntriesAt)
        addSuspectCrashes(message);
    const auto addSound = [&](const PromptPart &part) {
        const auto soundAt = m_evidence.lastSoundAt(part);
        if (soundAt && message.m_soundParts.size() < maxSoundPartsToTell)
            message.m_soundParts.emplace_back(part, *soundAt);
    };
    for (const CrashReport &crash : message.m_crashes) {
        for (const std::string &id : crash.m_suspects)
            addSound({crash.m_service, id});
        for (const auto &[id, sentAt] : crash.m_requests)
            addSound(requestPart(id));
    }
    if (now < m_sendEntriesAt)
        return message;
    m_sendEntriesAt = now + entriesInterval;
    for (const auto &[part, entry] : m_quarantines.entries())
        message.m_entries.push_back(entry);
    // The latest change first; beyond the maximum, older ones are told by turns.
    std::sort(message.m_entries.begin(), message.m_entries.end(),
              [](const QuarantineEntry &left, const QuarantineEntry &right) {
                  return left.m_changedAt > right.m_changedAt;
              });
    if (message.m_entries.size() > maxEntriesToTell) {
        const std::size_t fixed = maxEntriesToTell / 2;
        const std::size_t others = message.m_entries.size() - fixed;
        std::rotate(message.m_entries.begin() + static_cast<std::ptrdiff_t>(fixed),
                    message.m_entries.begin()
                        + static_cast<std::ptrdiff_t>(fixed + m_nextEntry % others),
                    message.m_entries.end());
        m_nextEntry += maxEntriesToTell - fixed;
        message.m_entries.resize(maxEntriesToTell);
    }
    return message;
}

std::vector<PromptGuardEvent> PromptGuard::takeEvents()
{
    return std::exchange(m_events, {});
}

} // namespace burdockhead
