#include <burdockhead/idempotency/requestledger.h>

#include <fmt/format.h>

#include <algorithm>

namespace burdockhead {

namespace {

// What the tables cost beside the texts, in bytes.
constexpr std::size_t entryOverhead = 400;
constexpr std::size_t attemptOverhead = 150;
constexpr std::size_t tombstoneOverhead = 150;

// Separates keys of callers from keyless attempts and from tickets.
constexpr std::string_view keyPrefix = "k:";
constexpr std::string_view attemptPrefix = "a:";
constexpr std::string_view ticketPrefix = "t:";

} // namespace

RequestLedger::RequestLedger(Incarnation incarnation, const LedgerLimits &limits)
    : m_incarnation(incarnation)
    , m_limits(limits)
    , m_attemptFloors(limits.m_issuers, limits.m_keyRetention)
    , m_ticketFloors(limits.m_issuers, limits.m_keyRetention)
{}

LedgerDecision RequestLedger::dispatch(const LedgerRequest &request, TimePoint now)
{
    expire(now);
    if (isForOtherRun(request))
        return {LedgerVerdict::StaleIncarnation, {}};
    if (m_tombstones.contains(request.m_attempt))
        return {LedgerVerdict::RefusedTombstoned, {}};
    const std::string key = entryKey(request);
    const auto found = m_entries.find(key);
    if (found != m_entries.end())
        return knownEntry(found->second, request);
    return newEntry(key, request);
}

void RequestLedger::onCompleted(const AttemptId &attempt, const StoredResponse &answer,
                                TimePoint now)
{
    m_now = now;
    const auto found = find(attempt);
    if (found == m_entries.end() || found->second.m_state == State::Completed)
        return;
    Entry &entry = found->second;
    const std::size_t size = answer.m_body.size() + answer.m_contentType.size();
    deadlinesOf(found->first).erase({entry.m_keptUntil, found->first});
    if (!makeRoom(size)) {
        settle(found, State::Unknown, now);
        return;
    }
    entry.m_answer = answer;
    entry.m_bytes += size;
    m_bytes += size;
    settle(found, State::Completed, now);
}

void RequestLedger::onOutcomeUnknown(const AttemptId &attempt, TimePoint now)
{
    const auto found = find(attempt);
    if (found != m_entries.end() && found->second.m_state == State::Running)
        settle(found, State::Unknown, now);
}

void RequestLedger::onNeverStarted(const AttemptId &attempt, TimePoint now)
{
    m_now = now;
    const auto found = find(attempt);
    if (found == m_entries.end() || found->second.m_state != State::Running)
        return;
    const std::vector<AttemptId> attempts = found->second.m_attempts;
    forget(found->first);
    for (const AttemptId &refused : attempts)
        bury(refused);
}

RunState RequestLedger::tombstone(const AttemptId &attempt, TimePoint now)
{
    m_now = now;
    const auto found = find(attempt);
    if (found != m_entries.end())
        return found->second.m_state == State::Completed ? RunState::Ran : RunState::Unknown;
    if (m_tombstones.contains(attempt))
        return RunState::NotRun;
    if (m_attemptFloors.mayBeForgotten(attempt.m_issuer, attempt.m_sequence))
        return RunState::Unknown;
    return bury(attempt) ? RunState::NotRun : RunState::Unknown;
}

void RequestLedger::expire(TimePoint now)
{
    m_now = now;
    dropExpired(m_keyDeadlines);
    dropExpired(m_keylessDeadlines);
    while (!m_tombstoneDeadlines.empty() && m_tombstoneDeadlines.begin()->first < now)
        dropOldestTombstone();
}

std::string RequestLedger::entryKey(const LedgerRequest &request)
{
    if (request.m_ticket)
        return fmt::format("{}{:x}.{:x}", ticketPrefix, request.m_ticket->m_issuer,
                           request.m_ticket->m_number);
    if (!request.m_key.empty())
        return fmt::format("{}{}", keyPrefix, request.m_key);
    return fmt::format("{}{:x}.{:x}", attemptPrefix, request.m_attempt.m_issuer,
                       request.m_attempt.m_sequence);
}

LedgerDecision RequestLedger::knownEntry(Entry &entry, const LedgerRequest &request)
{
    if (entry.m_fingerprint != request.m_fingerprint)
        return {LedgerVerdict::KeyReusedForOtherRequest, {}};
    attach(entry, request.m_attempt);
    return decisionFor(entry);
}

LedgerDecision RequestLedger::lookUp(const LedgerRequest &request) const
{
    if (isForOtherRun(request))
        return {LedgerVerdict::StaleIncarnation, {}};
    const auto found = m_entries.find(entryKey(request));
    if (found == m_entries.end())
        return {LedgerVerdict::Run, {}};
    return decisionFor(found->second);
}

bool RequestLedger::isForOtherRun(const LedgerRequest &request) const
{
    return (request.m_boundTo && *request.m_boundTo != m_incarnation)
           || (request.m_ticket && request.m_ticket->m_incarnation != m_incarnation);
}

LedgerDecision RequestLedger::decisionFor(const Entry &entry)
{
    switch (entry.m_state) {
    case State::Running:
        return {LedgerVerdict::AlreadyRunning, {}};
    case State::Completed:
        return {LedgerVerdict::Replay, entry.m_answer};
    case State::Unknown:
        return {LedgerVerdict::OutcomeUnknown, {}};
    }
    return {LedgerVerdict::OutcomeUnknown, {}};
}

LedgerDecision RequestLedger::newEntry(const std::string &key, const LedgerRequest &request)
{
    const AttemptId &attempt = request.m_attempt;
    if (m_attemptFloors.mayBeForgotten(attempt.m_issuer, attempt.m_sequence))
        return {LedgerVerdict::OutcomeUnknown, {}};
    if (request.m_ticket
        && m_ticketFloors.mayBeForgotten(request.m_ticket->m_issuer, request.m_ticket->m_number))
        return {LedgerVerdict::OutcomeUnknown, {}};
    if (!m_attemptFloors.hasRoomFor(attempt.m_issuer, m_now)
        || (request.m_ticket && !m_ticketFloors.hasRoomFor(request.m_ticket->m_issuer, m_now)))
        return {LedgerVerdict::Full, {}};
    const std::size_t size = entryOverhead + 2 * key.size();
    if (!makeRoom(size + attemptOverhead))
        return {LedgerVerdict::Full, {}};
    Entry &entry = m_entries[key];
    entry.m_fingerprint = request.m_fingerprint;
    entry.m_ticket = request.m_ticket;
    entry.m_bytes = size;
    m_bytes += size;
    attach(entry, attempt);
    m_byAttempt[attempt] = key;
    return {LedgerVerdict::Run, {}};
}

// Counts the attempt as one of the entry's. Without room to remember it, its number counts as
// forgotten at once, which keeps its late copies from running just as well.
void RequestLedger::attach(Entry &entry, const AttemptId &attempt)
{
    if (std::ranges::find(entry.m_attempts, attempt) != entry.m_attempts.end())
        return;
    if (m_bytes + attemptOverhead > m_limits.m_maxBytes) {
        m_attemptFloors.raise(attempt.m_issuer, attempt.m_sequence, m_now);
        return;
    }
    if (!entry.m_attempts.empty())
        m_byAttempt[attempt] = m_byAttempt.at(entry.m_attempts.front());
    entry.m_attempts.push_back(attempt);
    entry.m_bytes += attemptOverhead;
    m_bytes += attemptOverhead;
}

RequestLedger::Entries::iterator RequestLedger::find(const AttemptId &attempt)
{
    const auto key = m_byAttempt.find(attempt);
    return key == m_byAttempt.end() ? m_entries.end() : m_entries.find(key->second);
}

void RequestLedger::settle(Entries::iterator entry, State state, TimePoint now)
{
    const bool keyless = entry->first.starts_with(attemptPrefix);
    Deadlines &deadlines = deadlinesOf(entry->first);
    deadlines.erase({entry->second.m_keptUntil, entry->first});
    entry->second.m_state = state;
    entry->second.m_keptUntil =
        now + (keyless ? m_limits.m_attemptRetention : m_limits.m_keyRetention);
    deadlines.insert({entry->second.m_keptUntil, entry->first});
}

// Makes a tombstone, or counts the attempt as forgotten when there is no room. False when
// that can't be remembered either.
bool RequestLedger::bury(const AttemptId &attempt)
{
    if (m_bytes + tombstoneOverhead > m_limits.m_maxBytes) {
        const bool remembered = m_attemptFloors.hasRoomFor(attempt.m_issuer, m_now);
        if (remembered)
            m_attemptFloors.raise(attempt.m_issuer, attempt.m_sequence, m_now);
        return remembered;
    }
    const TimePoint keptUntil = m_now + m_limits.m_attemptRetention;
    if (!m_tombstones.emplace(attempt, keptUntil).second)
        return true;
    m_tombstoneDeadlines.insert({keptUntil, attempt});
    m_bytes += tombstoneOverhead;
    return true;
}

void RequestLedger::forget(const std::string &key)
{
    const auto found = m_entries.find(key);
    deadlinesOf(key).erase({found->second.m_keptUntil, key});
    for (const AttemptId &attempt : found->second.m_attempts)
        m_byAttempt.erase(attempt);
    m_bytes -= found->second.m_bytes;
    m_entries.erase(found);
}

// Forgets an entry that has ended, so that what belonged to it counts as seen.
void RequestLedger::drop(const std::string &key)
{
    const Entry &entry = m_entries.at(key);
    for (const AttemptId &attempt : entry.m_attempts)
        m_attemptFloors.raise(attempt.m_issuer, attempt.m_sequence, m_now);
    if (entry.m_ticket)
        m_ticketFloors.raise(entry.m_ticket->m_issuer, entry.m_ticket->m_number, m_now);
    forget(key);
}

void RequestLedger::dropOldestTombstone()
{
    const AttemptId attempt = m_tombstoneDeadlines.begin()->second;
    m_attemptFloors.raise(attempt.m_issuer, attempt.m_sequence, m_now);
    m_tombstoneDeadlines.erase(m_tombstoneDeadlines.begin());
    m_tombstones.erase(attempt);
    m_bytes -= tombstoneOverhead;
}

void RequestLedger::dropExpired(const Deadlines &deadlines)
{
    while (!deadlines.empty() && deadlines.begin()->first < m_now)
        drop(std::string(deadlines.begin()->second));
}

// Drops the oldest of what floors protect as well; false when that isn't enough.
bool RequestLedger::makeRoom(std::size_t bytes)
{
    while (m_bytes + bytes > m_limits.m_maxBytes) {
        if (!m_keylessDeadlines.empty())
            drop(std::string(m_keylessDeadlines.begin()->second));
        else if (!m_tombstoneDeadlines.empty())
            dropOldestTombstone();
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
