#include <burdockhead/idempotency/requestledger.h>

#include <fmt/format.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Memory that the tables use in addition to the texts.
constexpr std::size_t recordOverheadBytes = 400;
constexpr std::size_t attemptOverheadBytes = 150;
constexpr std::size_t tombstoneOverheadBytes = 150;

// Prefixes of record keys, which keep callers' keys, keyless attempts and tickets distinct.
constexpr std::string_view keyPrefix = "k:";
constexpr std::string_view attemptPrefix = "a:";
constexpr std::string_view ticketPrefix = "t:";

} // namespace

RequestLedger::RequestLedger(Incarnation incarnation, const LedgerLimits &limits)
    : m_incarnation(incarnation)
    , m_limits(limits)
    , m_attemptWatermarks(limits.m_maxIssuers, limits.m_keyRetention)
    , m_ticketWatermarks(limits.m_maxIssuers, limits.m_keyRetention)
{}

LedgerDecision RequestLedger::dispatch(const LedgerRequest &request, TimePoint now)
{
    expire(now);
    if (isForOtherIncarnation(request))
        return {LedgerVerdict::StaleIncarnation, {}};
    if (m_tombstones.contains(request.m_attempt))
        return {LedgerVerdict::RefusedTombstoned, {}};
    const std::string key = recordKey(request);
    const auto found = m_records.find(key);
    if (found != m_records.end())
        return dispatchToExisting(found->second, request);
    return dispatchNew(key, request);
}

void RequestLedger::onCompleted(const AttemptId &attempt, const StoredResponse &response,
                                TimePoint now)
{
    m_now = now;
    const auto found = find(attempt);
    if (found == m_records.end() || found->second.m_state == State::Completed)
        return;
    Record &record = found->second;
    const std::size_t size = response.m_body.size() + response.m_contentType.size();
    deadlinesOf(found->first).erase({record.m_expiresAt, found->first});
    if (!makeRoom(size)) {
        setFinalState(found, State::Unknown, now);
        return;
    }
    record.m_response = response;
    record.m_bytes += size;
    m_bytes += size;
    setFinalState(found, State::Completed, now);
}

void RequestLedger::onOutcomeUnknown(const AttemptId &attempt, TimePoint now)
{
    const auto found = find(attempt);
    if (found != m_records.end() && found->second.m_state == State::Running)
        setFinalState(found, State::Unknown, now);
}

void RequestLedger::onNeverStarted(const AttemptId &attempt, TimePoint now)
{
    m_now = now;
    const auto found = find(attempt);
    if (found == m_records.end() || found->second.m_state != State::Running)
        return;
    const std::vector<AttemptId> attempts = found->second.m_attempts;
    eraseRecord(found->first);
    for (const AttemptId &refused : attempts)
        addTombstone(refused);
}

RunState RequestLedger::tombstone(const AttemptId &attempt, TimePoint now)
{
    m_now = now;
    const auto found = find(attempt);
    if (found != m_records.end())
        return found->second.m_state == State::Completed ? RunState::Ran : RunState::Unknown;
    if (m_tombstones.contains(attempt))
        return RunState::NotRun;
    if (m_attemptWatermarks.mayHaveBeenSeen(attempt.m_issuer, attempt.m_sequence))
        return RunState::Unknown;
    return addTombstone(attempt) ? RunState::NotRun : RunState::Unknown;
}

void RequestLedger::expire(TimePoint now)
{
    m_now = now;
    evictExpired(m_keyDeadlines);
    evictExpired(m_keylessDeadlines);
    while (!m_tombstoneDeadlines.empty() && m_tombstoneDeadlines.begin()->first < now)
        evictOldestTombstone();
}

std::string RequestLedger::recordKey(const LedgerRequest &request)
{
    if (request.m_ticket)
        return fmt::format("{}{:x}.{:x}", ticketPrefix, request.m_ticket->m_issuer,
                           request.m_ticket->m_number);
    if (!request.m_key.empty())
        return fmt::format("{}{}", keyPrefix, request.m_key);
    return fmt::format("{}{:x}.{:x}", attemptPrefix, request.m_attempt.m_issuer,
                       request.m_attempt.m_sequence);
}

LedgerDecision RequestLedger::dispatchToExisting(Record &record, const LedgerRequest &request)
{
    if (record.m_fingerprint != request.m_fingerprint)
        return {LedgerVerdict::KeyReusedForOtherRequest, {}};
    attachAttempt(record, request.m_attempt);
    return decisionFor(record);
}

LedgerDecision RequestLedger::lookUp(const LedgerRequest &request) const
{
    if (isForOtherIncarnation(request))
        return {LedgerVerdict::StaleIncarnation, {}};
    const auto found = m_records.find(recordKey(request));
    if (found == m_records.end())
        return {LedgerVerdict::Run, {}};
    return decisionFor(found->second);
}

bool RequestLedger::isForOtherIncarnation(const LedgerRequest &request) const
{
    return (request.m_boundTo && *request.m_boundTo != m_incarnation)
           || (request.m_ticket && request.m_ticket->m_incarnation != m_incarnation);
}

LedgerDecision RequestLedger::decisionFor(const Record &record)
{
    switch (record.m_state) {
    case State::Running:
        return {LedgerVerdict::AlreadyRunning, {}};
    case State::Completed:
        return {LedgerVerdict::Replay, record.m_response};
    case State::Unknown:
        return {LedgerVerdict::OutcomeUnknown, {}};
    }
    return {LedgerVerdict::OutcomeUnknown, {}};
}

LedgerDecision RequestLedger::dispatchNew(const std::string &key, const LedgerRequest &request)
{
    const AttemptId &attempt = request.m_attempt;
    if (m_attemptWatermarks.mayHaveBeenSeen(attempt.m_issuer, attempt.m_sequence))
        return {LedgerVerdict::OutcomeUnknown, {}};
    if (request.m_ticket
        && m_ticketWatermarks.mayHaveBeenSeen(request.m_ticket->m_issuer,
                                              request.m_ticket->m_number))
        return {LedgerVerdict::OutcomeUnknown, {}};
    if (!m_attemptWatermarks.canTrack(attempt.m_issuer, m_now)
        || (request.m_ticket && !m_ticketWatermarks.canTrack(request.m_ticket->m_issuer, m_now)))
        return {LedgerVerdict::Full, {}};
    const std::size_t size = recordOverheadBytes + 2 * key.size();
    if (!makeRoom(size + attemptOverheadBytes))
        return {LedgerVerdict::Full, {}};
    Record &record = m_records[key];
    record.m_fingerprint = request.m_fingerprint;
    record.m_ticket = request.m_ticket;
    record.m_bytes = size;
    m_bytes += size;
    attachAttempt(record, attempt);
    m_byAttempt[attempt] = key;
    return {LedgerVerdict::Run, {}};
}

// Adds the attempt to the record. Without space for it, the watermark is raised to its number,
// which equally keeps its late duplicates from running.
void RequestLedger::attachAttempt(Record &record, const AttemptId &attempt)
{
    if (std::ranges::find(record.m_attempts, attempt) != record.m_attempts.end())
        return;
    if (m_bytes + attemptOverheadBytes > m_limits.m_maxBytes) {
        m_attemptWatermarks.raise(attempt.m_issuer, attempt.m_sequence, m_now);
        return;
    }
    if (!record.m_attempts.empty())
        m_byAttempt[attempt] = m_byAttempt.at(record.m_attempts.front());
    record.m_attempts.push_back(attempt);
    record.m_bytes += attemptOverheadBytes;
    m_bytes += attemptOverheadBytes;
}

RequestLedger::Records::iterator RequestLedger::find(const AttemptId &attempt)
{
    const auto key = m_byAttempt.find(attempt);
    return key == m_byAttempt.end() ? m_records.end() : m_records.find(key->second);
}

void RequestLedger::setFinalState(Records::iterator record, State state, TimePoint now)
{
    const bool isKeyless = record->first.starts_with(attemptPrefix);
    Deadlines &deadlines = deadlinesOf(record->first);
    deadlines.erase({record->second.m_expiresAt, record->first});
    record->second.m_state = state;
    record->second.m_expiresAt =
        now + (isKeyless ? m_limits.m_attemptRetention : m_limits.m_keyRetention);
    deadlines.insert({record->second.m_expiresAt, record->first});
}

// Adds a tombstone, or raises the issuer's watermark if there is no space. Returns false if the
// issuer can't be tracked either.
bool RequestLedger::addTombstone(const AttemptId &attempt)
{
    if (m_bytes + tombstoneOverheadBytes > m_limits.m_maxBytes) {
        const bool isTracked = m_attemptWatermarks.canTrack(attempt.m_issuer, m_now);
        if (isTracked)
            m_attemptWatermarks.raise(attempt.m_issuer, attempt.m_sequence, m_now);
        return isTracked;
    }
    const TimePoint expiresAt = m_now + m_limits.m_attemptRetention;
    if (!m_tombstones.emplace(attempt, expiresAt).second)
        return true;
    m_tombstoneDeadlines.insert({expiresAt, attempt});
    m_bytes += tombstoneOverheadBytes;
    return true;
}

void RequestLedger::eraseRecord(const std::string &key)
{
    const auto found = m_records.find(key);
    deadlinesOf(key).erase({found->second.m_expiresAt, key});
    for (const AttemptId &attempt : found->second.m_attempts)
        m_byAttempt.erase(attempt);
    m_bytes -= found->second.m_bytes;
    m_records.erase(found);
}

// Erases a record with a final state and raises the watermarks, so that its attempts and ticket
// count as seen.
void RequestLedger::evictRecord(const std::string &key)
{
    const Record &record = m_records.at(key);
    for (const AttemptId &attempt : record.m_attempts)
        m_attemptWatermarks.raise(attempt.m_issuer, attempt.m_sequence, m_now);
    if (record.m_ticket)
        m_ticketWatermarks.raise(record.m_ticket->m_issuer, record.m_ticket->m_number, m_now);
    eraseRecord(key);
}

void RequestLedger::evictOldestTombstone()
{
    const AttemptId attempt = m_tombstoneDeadlines.begin()->second;
    m_attemptWatermarks.raise(attempt.m_issuer, attempt.m_sequence, m_now);
    m_tombstoneDeadlines.erase(m_tombstoneDeadlines.begin());
    m_tombstones.erase(attempt);
    m_bytes -= tombstoneOverheadBytes;
}

void RequestLedger::evictExpired(const Deadlines &deadlines)
{
    while (!deadlines.empty() && deadlines.begin()->first < m_now)
        evictRecord(std::string(deadlines.begin()->second));
}

// Evicts the oldest keyless records, then tombstones, which watermarks can replace. Returns false
// if that doesn't free enough.
bool RequestLedger::makeRoom(std::size_t bytes)
{
    while (m_bytes + bytes > m_limits.m_maxBytes) {
        if (!m_keylessDeadlines.empty())
            evictRecord(std::string(m_keylessDeadlines.begin()->second));
        else if (!m_tombstoneDeadlines.empty())
            evictOldestTombstone();
        else
            return false;
    }
    return true;
}

RequestLedger::Deadlines &RequestLedger::deadlinesOf(const std::string &key)
{
    return key.starts_with(attemptPrefix) ? m_keylessDeadlines : m_keyDeadlines;
}

} // namespace burdockhead
