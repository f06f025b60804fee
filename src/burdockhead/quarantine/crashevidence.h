#pragma once

#include <burdockhead/quarantine/crashreport.h>
#include <burdockhead/quarantine/promptpart.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace burdockhead {

// What speaks against a part. Crashes in quick succession, and those before which the service has
// made no progress since the last one, are one outage: a loss of power, or a failing group.
struct Incrimination
{
    std::size_t m_outages = 0; // In which the part is a suspect of most crashes.
    std::size_t m_crashes = 0; // The most in one outage of all of which it is a suspect.

    friend bool operator==(const Incrimination &, const Incrimination &) = default;
};

// What is known of crashes and of the prompt parts that may have caused them. A part that crashes
// each endpoint that begins to answer a request with it is a suspect of all its crashes, and is
// never sound; other parts are suspects by chance, and clear themselves when an endpoint answers a
// request with them. The same holds for whole requests, by their fingerprints. Bounded: crashes
// that are explained or old are forgotten, and a crash keeps a limited number of suspects.
class CrashEvidence
{
public:
    // Merges a report; reports on the same run of an endpoint add up. Returns whether it says
    // anything new.
    bool add(const CrashReport &report);

    // Records that an endpoint answered a request with this part. Kept for parts of known crashes
    // only. Returns whether the part was a suspect until now.
    bool recordSound(const PromptPart &part, TimePoint at);

    // Returns when the part was last sound, if it has been a suspect.
    std::optional<TimePoint> lastSoundAt(const PromptPart &part) const;

    // Returns whether there was a crash with this part since it was last sound.
    bool isSuspect(const PromptPart &part) const { return m_suspects.contains(part); }
    const std::set<PromptPart> &suspects() const { return m_suspects; }

    // Returns what speaks against the part since it was last sound and since that time. Crashes
    // that `isExplained` are left out.
    Incrimination
    incriminationOf(const PromptPart &part, TimePoint after,
                    const std::function<bool(const CrashReport &)> &isExplained) const;

    // Returns how many crashes the request went through one after the other since it was last
    // answered and since that time: each time it was sent after the crash before. Endpoints that
    // crash together, for whatever reason, count once. Crashes that `isExplained` are left out.
    std::size_t
    successiveCrashesOf(const PromptPart &request, TimePoint after,
                        const std::function<bool(const CrashReport &)> &isExplained) const;

    // Returns whether the content is that of the request: both were sent to an endpoint that
    // crashed at the same time.
    bool isContentOf(const PromptPart &content, const PromptPart &request) const;

    // Returns the request that explains all crashes under the content since that was last answered
    // and since that time, so that nothing tells whether others with the content crash endpoints.
    std::optional<PromptPart> onlyRequestOf(const PromptPart &content, TimePoint after) const;

    // Returns when an endpoint last crashed while the request was at it; none if none has.
    std::optional<TimePoint> lastCrashOf(const PromptPart &request) const;

    bool hasCrashed(const EndpointRun &endpoint) const;

    // Returns the crashes of which a request is still a suspect, the latest first.
    std::vector<CrashReport> crashesWithSuspectRequests() const;

    // Returns the crashes after that time, the latest first.
    std::vector<CrashReport> crashesAfter(TimePoint time) const;

    void removeExpired(TimePoint now);

private:
    struct Crash
    {
        CrashReport m_report;
        std::size_t m_outage = 0; // Index of the first crash of the outage.
    };

    std::vector<const CrashReport *> crashesOf(const PromptPart &request, TimePoint after) const;
    void refresh();
    void makeRoom();
    bool hasSuspect(const CrashReport &crash) const;

    std::vector<Crash> m_crashes; // By time.
    std::map<PromptPart, TimePoint> m_lastSoundAt;
    std::set<PromptPart> m_suspects;
};

} // namespace burdockhead
