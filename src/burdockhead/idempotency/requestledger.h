#pragma once

#include <burdockhead/base/runstate.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/idempotency/issuerfloors.h>
#include <burdockhead/idempotency/ledgerdecision.h>
#include <burdockhead/idempotency/ledgerlimits.h>
#include <burdockhead/idempotency/ledgerrequest.h>

#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockhead {

// Which requests this run of an agent has handed to its endpoint, and which attempts it has
// refused as not run. Lasts as long as the agent's run. Every request passes dispatch()
// before anything else is done with it. Not thread-safe.
class RequestLedger
{
public:
    // The ledger of this run of the agent.
    RequestLedger(Incarnation incarnation, const LedgerLimits &limits);

    // An attempt arrives. Run is answered once for a key, until neverStarted() takes it back.
    // Without room for a new one the oldest keyless records are dropped early; a late copy
    // of one of these is answered OutcomeUnknown.
    LedgerDecision dispatch(const LedgerRequest &request, TimePoint now);

    // What is known of the request's key, without taking it on: Replay, AlreadyRunning,
    // OutcomeUnknown or StaleIncarnation; Run when the key is not known here.
    LedgerDecision lookUp(const LedgerRequest &request) const;

    // The attempt's request, or one that it waits for, ran to its end with this answer.
    void onCompleted(const AttemptId &attempt, const StoredResponse &answer, TimePoint now);

    // The attempt's request may have run and no answer will come.
    void onOutcomeUnknown(const AttemptId &attempt, TimePoint now);

    // The request was dispatched but never handed to the endpoint: all its attempts so far
    // become tombstones, and the key may be dispatched again by a new attempt.
    void onNeverStarted(const AttemptId &attempt, TimePoint now);

    // An entry gives the attempt up and wants it not to run. NotRun: it did not and can't.
    // Unknown: it is running, or its end is unknown. Ran: its answer is stored.
    RunState tombstone(const AttemptId &attempt, TimePoint now);

    // Drops what retention no longer protects. Also done by each dispatch.
    void expire(TimePoint now);

    // Bytes that count against the limit.
    std::size_t bytes() const { return m_bytes; }

    // Keys and keyless requests present.
    std::size_t size() const { return m_entries.size(); }

private:
    enum class State {
        Running,
        Completed,
        Unknown,
    };

    struct Entry
    {
        State m_state = State::Running;
        std::uint64_t m_fingerprint = 0;
        StoredResponse m_answer;
        std::vector<AttemptId> m_attempts;
        std::optional<Ticket> m_ticket;
        TimePoint m_keptUntil;
        std::size_t m_bytes = 0;
    };

    using Deadlines = std::set<std::pair<TimePoint, std::string>>;
    using Entries = std::unordered_map<std::string, Entry>;

    static std::string entryKey(const LedgerRequest &request);
    static LedgerDecision decisionFor(const Entry &entry);
    bool isForOtherRun(const LedgerRequest &request) const;
    LedgerDecision knownEntry(Entry &entry, const LedgerRequest &request);
    LedgerDecision newEntry(const std::string &key, const LedgerRequest &request);
    void attach(Entry &entry, const AttemptId &attempt);
    Entries::iterator find(const AttemptId &attempt);
    void settle(Entries::iterator entry, State state, TimePoint now);
    bool bury(const AttemptId &attempt);
    void forget(const std::string &key);
    void drop(const std::string &key);
    void dropOldestTombstone();
    void dropExpired(const Deadlines &deadlines);
    bool makeRoom(std::size_t bytes);
    Deadlines &deadlinesOf(const std::string &key);

    Incarnation m_incarnation;
    LedgerLimits m_limits;
    Entries m_entries;
    std::unordered_map<AttemptId, std::string> m_byAttempt;
    std::unordered_map<AttemptId, TimePoint> m_tombstones;
    Deadlines m_keyDeadlines;
    Deadlines m_keylessDeadlines;
    std::set<std::pair<TimePoint, AttemptId>> m_tombstoneDeadlines;
    IssuerFloors m_attemptFloors;
    IssuerFloors m_ticketFloors;
    std::size_t m_bytes = 0;
    TimePoint m_now; // The latest time point given.
};

} // namespace burdockhead
