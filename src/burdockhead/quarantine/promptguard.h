#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/quarantine/crashdetector.h>
#include <burdockhead/quarantine/crashevidence.h>
#include <burdockhead/quarantine/quarantinemessage.h>
#include <burdockhead/quarantine/quarantinetable.h>
#include <burdockhead/quarantine/recentprompts.h>
#include <burdockhead/quarantine/soundparts.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace burdockhead {

// What may be done with a request, given the parts of its prompt.
enum class PromptVerdict : std::uint8_t {
    Admit,
    Wait,    // Another request like it is at an endpoint, which may crash under it.
    Isolate, // May be sent to an endpoint that has no other such request of this gateway.
    Refuse,  // A part is in quarantine, or the request is left to another gateway.
};

// Something that operators should see: a crash with its suspects, or a change of a quarantine.
using PromptGuardEvent = std::variant<CrashReport, QuarantineEntry>;

// A request that was broken off by an endpoint.
struct BrokenRequest
{
    PromptParts m_fingerprints;
    TimePoint m_sentAt; // To that endpoint.
};

// Keeps prompt parts from the endpoints that crash on them ("queries of death"), in agreement with
// the other gateways. Answers requests with a common part, none alike, that crash each endpoint
// that begins to answer them, and reach the next one by retries, new requests and the backlog.
//
// A crash makes suspects of the parts of all requests that the endpoint may just have begun to
// answer. A part clears itself when an endpoint answers a request with it, which sound parts soon
// do. One that doesn't between several outages is put in quarantine: the fewer requests have it,
// the sooner. Until then requests with a suspect are sent apart from each other, so that the next
// crash leaves few suspects.
//
// A whole request is one more part of itself, by its fingerprint. It is a suspect of the crash of
// each endpoint that had not answered it whole, and is put in quarantine when it has gone through a
// few crashes one after the other, however soon. Only an operator ends that quarantine: whoever
// repeats the request loses nothing by waiting, and each trial would cost an endpoint.
//
// A repeated request may have another head, and so another fingerprint; its content is one more
// part that stays the same. Contents are put in quarantine if requests with different heads went
// through the crashes. Sound requests can share a content too, such as an empty body: one that has
// been answered needs twice as many crashes, and is not held back by the first ones.
class PromptGuard
{
public:
    explicit PromptGuard(ProcessName localName);

    // Sets the index of this gateway among the ready ones, which share the trials.
    void setPosition(std::size_t index, std::size_t count);

    void recordArrival(const GroupName &service, const PromptParts &parts);

    // Returns whether a request may be sent to an endpoint. A part whose quarantine may be probed
    // doesn't count if this gateway is to make the trial; onSent() begins it.
    PromptVerdict judge(const PromptParts &parts, TimePoint now) const;

    // Returns the first part that is in quarantine, if judge() refuses the request.
    const QuarantineEntry *findQuarantine(const PromptParts &parts, TimePoint now) const;

    void onSent(const PromptParts &parts, TimePoint now);

    // Begin and end an attempt of a request at an endpoint. Requests that are suspects run one at a
    // time.
    void beginAttempt(const PromptParts &fingerprints);
    void endAttempt(const PromptParts &fingerprints);

    // Returns whether the request is a suspect of a recent crash, and so must not be sent to the
    // last endpoint of a service that is left.
    bool needsSpareEndpoint(const PromptParts &fingerprints, TimePoint now) const;

    // Records that an endpoint has answered a request for long enough, or to its end.
    void recordSound(const PromptParts &parts, TimePoint now);

    // Records an event of any stream of the service.
    void recordProgress(const GroupName &service, TimePoint now)
    {
        m_lastProgressAt[service] = now;
    }

    // Record what happens to endpoints; see CrashDetector.
    void recordBroken(const EndpointRun &endpoint, const GroupName &service,
                      const PromptParts &suspects, TimePoint now,
                      const std::optional<BrokenRequest> &request = {});
    void recordAlive(const EndpointName &endpoint, TimePoint now);
    void recordGone(const EndpointRun &endpoint, TimePoint now);

    // Decides on quarantines; to be called a few times a second.
    void refresh(TimePoint now);

    // Lifts a quarantine on an operator's order; false if there is none.
    bool lift(const PromptPart &part, TimePoint now);

    // Merges what another gateway sent, or the store holds.
    void receive(const QuarantineMessage &message, TimePoint now);

    // Returns whether there is something that the other gateways should be told at once, and the
    // message for it.
    bool hasNews() const { return m_hasNews; }
    QuarantineMessage newsToSend(TimePoint now);

    // Returns what to tell a few other gateways with each heartbeat.
    QuarantineMessage messageToSend(TimePoint now);

    // Returns the events since the last call.
    std::vector<PromptGuardEvent> takeEvents();

    const QuarantineTable &quarantines() const { return m_quarantines; }
    const CrashEvidence &evidence() const { return m_evidence; }

private:
    bool isResponsibleFor(const std::string &id) const;
    bool mayProbe(const QuarantineEntry &entry, TimePoint now) const;
    TimePoint lastReleaseOf(const PromptPart &fingerprint) const;
    bool isExplained(const CrashReport &crash, const PromptPart &fingerprint) const;
    std::size_t crashesOfRequest(const PromptPart &fingerprint) const;
    std::size_t crashesNeeded(const PromptPart &fingerprint) const;
    bool isHeldBack(const PromptPart &part) const;
    std::optional<PromptPart> onlyRequestOf(const PromptPart &part) const;
    SoundParts &soundTableOf(const PromptPart &part);
    bool isLeftToOthers(const PromptPart &part, TimePoint now) const;
    bool hasCrashedRecently(const PromptPart &fingerprint, TimePoint now) const;
    void decideOnRequests(TimePoint now);
    void addSuspectCrashes(QuarantineMessage &message);
    void add(const CrashReport &report, TimePoint now);
    bool isKnownAsSound(const PromptPart &part) const;
    double shareOf(const PromptPart &part) const;
    Incrimination incriminationOf(const PromptPart &part) const;
    std::size_t outagesNeeded(const PromptPart &part) const;
    void decide(TimePoint now);

    const ProcessName m_localName;
    std::size_t m_index = 0;
    std::size_t m_count = 1;
    CrashDetector m_detector;
    CrashEvidence m_evidence;
    SoundParts m_soundParts;
    SoundParts m_soundRequests;
    SoundParts m_soundContents;
    std::map<PromptPart, unsigned> m_attempts; // Of requests that are at endpoints.
    RecentPrompts m_recentPrompts;
    QuarantineTable m_quarantines;
    std::map<GroupName, TimePoint> m_lastProgressAt;
    std::map<PromptPart, TimePoint> m_probedUntil; // Trials of this gateway that are in progress.
    TimePoint m_decideAt = TimePoint::max();       // When new evidence is complete.
    TimePoint m_decideOnRequestsAt = TimePoint::max();
    TimePoint m_sendEntriesAt;
    std::size_t m_nextEntry = 0; // Index from which older quarantines are told next.
    std::size_t m_nextCrash = 0; // The same for crashes.
    std::vector<PromptGuardEvent> m_events;
    bool m_hasNews = false;
};

} // namespace burdockhead
