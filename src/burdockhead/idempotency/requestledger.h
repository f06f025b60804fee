#pragma once

#include <burdockhead/base/runstate.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/idempotency/issuerwatermarks.h>
#include <burdockhead/idempotency/ledgerdecision.h>
#include <burdockhead/idempotency/ledgerlimits.h>
#include <burdockhead/idempotency/ledgerrequest.h>

#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockhead {

// Deduplicates requests: records which ones this incarnation of an agent has forwarded to its
// endpoint, and which attempts it has refused as not run. Lives as long as the incarnation. Every
// request must pass dispatch() before any other processing. Not thread-safe.
class RequestLedger
{
public:
    // Creates the ledger of this incarnation of the agent.
    RequestLedger(Incarnation incarnation, const LedgerLimits &limits);

    // Decides on an arriving attempt. Returns Run once for a key, unless onNeverStarted() revokes
    // it. Without space for a new record the oldest keyless records are evicted early; a late
    // duplicate of one of these yields OutcomeUnknown.
    LedgerDecision dispatch(const LedgerRequest &request, TimePoint now);

    // Looks up the request's key without recording the request: Replay, AlreadyRunning,
    // OutcomeUnknown or StaleIncarnation; Run if there is no record.
    LedgerDecision lookUp(const LedgerRequest &request) const;

    // Stores the response of the attempt's request, or of the one that the attempt has joined.
    void onCompleted(const AttemptId &attempt, const StoredResponse &response, TimePoint now);

    // Records that the attempt's request may have run and that its response is lost.
    void onOutcomeUnknown(const AttemptId &attempt, TimePoint now);

    // Records that the request was dispatched but never forwarded to the endpoint: all its attempts
    // so far become tombstones, and a new attempt may dispatch the key again.
    void onNeverStarted(const AttemptId &attempt, TimePoint now);

    // Keeps an attempt that its entry has abandoned from running. NotRun: it has not run and can't.
    // Unknown: it is running, or its outcome is unknown. Ran: its response is stored.
    RunState tombstone(const AttemptId &attempt, TimePoint now);

    // Evicts records and tombstones whose retention has ended. dispatch() does so too.
    void expire(TimePoint now);

    // Returns the bytes that count against the limit.
    std::size_t bytes() const { return m_bytes; }

    // Returns the number of records, of keys and of keyless requests.
    std::size_t size() const { return m_records.size(); }

private:
    enum class State {
        Running,
        Completed,
        Unknown,
    };

    struct Record
    {
        State m_state = State::Running;
        std::uint64_t m_fingerprint = 0;
        StoredResponse m_response;
        std::vector<AttemptId> m_attempts;
        std::optional<Ticket> m_ticket;
        TimePoint m_expiresAt;
        std::size_t m_bytes = 0;
    };

    using Deadlines = std::set<std::pair<TimePoint, std::string>>;
    using Records = std::unordered_map<std::string, Record>;

    static std::string recordKey(const LedgerRequest &request);
    static LedgerDecision decisionFor(const Record &record);
    bool isForOtherIncarnation(const LedgerRequest &request) const;
    LedgerDecision dispatchToExisting(Record &record, const LedgerRequest &request);
    LedgerDecision dispatchNew(const std::string &key, const LedgerRequest &request);
    void attachAttempt(Record &record, const AttemptId &attempt);
    Records::iterator find(const AttemptId &attempt);
    void setFinalState(Records::iterator record, State state, TimePoint now);
    bool addTombstone(const AttemptId &attempt);
    void eraseRecord(const std::string &key);
    void evictRecord(const std::string &key);
    void evictOldestTombstone();
    void evictExpired(const Deadlines &deadlines);
    bool makeRoom(std::size_t bytes);
    Deadlines &deadlinesOf(const std::string &key);

    Incarnation m_incarnation;
    LedgerLimits m_limits;
    Records m_records;
    std::unordered_map<AttemptId, std::string> m_byAttempt;
    std::unordered_map<AttemptId, TimePoint> m_tombstones;
    Deadlines m_keyDeadlines;
    Deadlines m_keylessDeadlines;
    std::set<std::pair<TimePoint, AttemptId>> m_tombstoneDeadlines;
    IssuerWatermarks m_attemptWatermarks;
    IssuerWatermarks m_ticketWatermarks;
    std::size_t m_bytes = 0;
    TimePoint m_now; // The latest time point passed in.
};

} // namespace burdockhead
