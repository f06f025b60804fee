#include <burdockhead/idempotency/requestledger.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

constexpr Incarnation localIncarnation{3};
constexpr TimePoint start{Seconds(1000)};
const StoredResponse response{201, "application/json", "{}"};

LedgerRequest requestOf(std::uint64_t sequence, const std::string &key)
{
    LedgerRequest request;
    request.m_attempt = {1, sequence};
    request.m_key = key;
    request.m_fingerprint = 11;
    request.m_boundTo = localIncarnation;
    return request;
}

LedgerVerdict verdictOf(RequestLedger &ledger, const LedgerRequest &request, TimePoint now = start)
{
    return ledger.dispatch(request, now).m_verdict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ledger)

BOOST_AUTO_TEST_CASE(a_completed_request_is_replayed_and_a_running_one_is_joined)
{
    RequestLedger ledger(localIncarnation, LedgerLimits());
    BOOST_TEST((verdictOf(ledger, requestOf(1, "k")) == LedgerVerdict::Run));
    BOOST_TEST((verdictOf(ledger, requestOf(2, "k")) == LedgerVerdict::AlreadyRunning));
    ledger.onCompleted({1, 1}, response, start);
    const LedgerDecision replay = ledger.dispatch(requestOf(3, "k"), start);
    BOOST_TEST((replay == LedgerDecision{LedgerVerdict::Replay, response}));
}

BOOST_AUTO_TEST_CASE(a_key_for_another_request_or_another_incarnation_is_refused)
{
    RequestLedger ledger(localIncarnation, LedgerLimits());
    verdictOf(ledger, requestOf(1, "k"));
    LedgerRequest other = requestOf(2, "k");
    other.m_fingerprint = 12;
    BOOST_TEST((verdictOf(ledger, other) == LedgerVerdict::KeyReusedForOtherRequest));
    other.m_boundTo = Incarnation{2};
    BOOST_TEST((verdictOf(ledger, other) == LedgerVerdict::StaleIncarnation));
}

BOOST_AUTO_TEST_CASE(a_refused_attempt_stays_refused_and_its_key_runs_under_a_new_one)
{
    RequestLedger ledger(localIncarnation, LedgerLimits());
    verdictOf(ledger, requestOf(1, "k"));
    ledger.onNeverStarted({1, 1}, start);
    BOOST_TEST((verdictOf(ledger, requestOf(1, "k")) == LedgerVerdict::RefusedTombstoned));
    BOOST_TEST((verdictOf(ledger, requestOf(2, "k")) == LedgerVerdict::Run));
}

BOOST_AUTO_TEST_CASE(a_tombstone_returns_the_known_state_of_the_attempt)
{
    RequestLedger ledger(localIncarnation, LedgerLimits());
    BOOST_TEST((ledger.tombstone({1, 9}, start) == RunState::NotRun));
    BOOST_TEST((verdictOf(ledger, requestOf(9, "a")) == LedgerVerdict::RefusedTombstoned));
    verdictOf(ledger, requestOf(10, "b"));
    BOOST_TEST((ledger.tombstone({1, 10}, start) == RunState::Unknown));
    ledger.onCompleted({1, 10}, response, start);
    BOOST_TEST((ledger.tombstone({1, 10}, start) == RunState::Ran));
}

BOOST_AUTO_TEST_CASE(a_late_duplicate_cannot_run_after_its_record_was_evicted)
{
    RequestLedger ledger(localIncarnation, LedgerLimits());
    verdictOf(ledger, requestOf(1, ""));
    ledger.onCompleted({1, 1}, response, start);
    ledger.tombstone({1, 2}, start);
    const TimePoint later = start + LedgerLimits().m_attemptRetention + Seconds(1);
    ledger.expire(later);
    BOOST_TEST(ledger.size() == 0U);
    BOOST_TEST((verdictOf(ledger, requestOf(1, ""), later) == LedgerVerdict::OutcomeUnknown));
    BOOST_TEST((verdictOf(ledger, requestOf(2, ""), later) == LedgerVerdict::OutcomeUnknown));
    BOOST_TEST((verdictOf(ledger, requestOf(3, ""), later) == LedgerVerdict::Run));
}

BOOST_AUTO_TEST_CASE(a_ticket_is_refused_once_its_record_was_evicted)
{
    RequestLedger ledger(localIncarnation, LedgerLimits());
    LedgerRequest request = requestOf(1, "");
    request.m_ticket = Ticket{EndpointName("e"), localIncarnation, 5, 1};
    BOOST_TEST((verdictOf(ledger, request) == LedgerVerdict::Run));
    ledger.onCompleted({1, 1}, response, start);
    request.m_attempt.m_sequence = 2;
    const TimePoint later = start + LedgerLimits().m_keyRetention + Seconds(1);
    BOOST_TEST((verdictOf(ledger, request, later) == LedgerVerdict::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(a_full_ledger_refuses_new_keys_and_keeps_the_old)
{
    LedgerLimits limits;
    limits.m_maxBytes = 4000;
    RequestLedger ledger(localIncarnation, limits);
    std::uint64_t sequence = 0;
    LedgerVerdict verdict = LedgerVerdict::Run;
    while (verdict == LedgerVerdict::Run) {
        ++sequence;
        verdict = verdictOf(ledger, requestOf(sequence, std::to_string(sequence)));
    }
    BOOST_TEST((verdict == LedgerVerdict::Full));
    BOOST_TEST(ledger.bytes() <= limits.m_maxBytes);
    BOOST_TEST((verdictOf(ledger, requestOf(90, "1")) == LedgerVerdict::AlreadyRunning));
    // Without space for a tombstone the refusal must still hold.
    BOOST_TEST((ledger.tombstone({1, 95}, start) == RunState::NotRun));
    BOOST_TEST((verdictOf(ledger, requestOf(95, "x")) != LedgerVerdict::Run));
}

BOOST_AUTO_TEST_CASE(keyless_records_are_evicted_before_a_request_is_refused)
{
    LedgerLimits limits;
    limits.m_maxBytes = 4000;
    RequestLedger ledger(localIncarnation, limits);
    for (std::uint64_t sequence = 1; sequence <= 100; ++sequence) {
        BOOST_TEST((verdictOf(ledger, requestOf(sequence, "")) == LedgerVerdict::Run));
        ledger.onCompleted({1, sequence}, {}, start);
    }
    BOOST_TEST(ledger.bytes() <= limits.m_maxBytes);
    BOOST_TEST((verdictOf(ledger, requestOf(1, "")) == LedgerVerdict::OutcomeUnknown));
    BOOST_TEST((verdictOf(ledger, requestOf(100, "")) == LedgerVerdict::Replay));
}

BOOST_AUTO_TEST_CASE(a_late_response_to_an_evicted_keyless_request_is_ignored)
{
    LedgerLimits limits;
    limits.m_maxBytes = 1500;
    RequestLedger ledger(localIncarnation, limits);
    verdictOf(ledger, requestOf(1, ""));
    ledger.onOutcomeUnknown({1, 1}, start);
    ledger.onCompleted({1, 1}, {200, "", std::string(4000, 'x')}, start);
    BOOST_TEST((verdictOf(ledger, requestOf(1, "")) == LedgerVerdict::OutcomeUnknown));
    BOOST_TEST(ledger.bytes() <= limits.m_maxBytes);
}

BOOST_AUTO_TEST_CASE(inactive_issuers_are_evicted_for_new_ones)
{
    IssuerWatermarks watermarks(2, Seconds(100));
    watermarks.raise(1, 5, start);
    watermarks.raise(2, 5, start);
    BOOST_TEST(watermarks.mayHaveBeenSeen(1, 5));
    BOOST_TEST(!watermarks.mayHaveBeenSeen(1, 6));
    BOOST_TEST(watermarks.canTrack(2, start));
    BOOST_TEST(!watermarks.canTrack(3, start));
    watermarks.raise(2, 6, start + Seconds(50));
    BOOST_TEST(watermarks.canTrack(3, start + Seconds(101)));
    BOOST_TEST(watermarks.mayHaveBeenSeen(2, 6));
}

BOOST_AUTO_TEST_CASE(a_request_with_a_lost_outcome_is_not_run_again)
{
    RequestLedger ledger(localIncarnation, LedgerLimits());
    verdictOf(ledger, requestOf(1, "k"));
    ledger.onOutcomeUnknown({1, 1}, start);
    BOOST_TEST((verdictOf(ledger, requestOf(2, "k")) == LedgerVerdict::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
