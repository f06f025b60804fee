#include <burdockhead/idempotency/requestledger.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

constexpr Incarnation own{3};
constexpr TimePoint start{Seconds(1000)};
const StoredResponse answer{201, "application/json", "{}"};

LedgerRequest requestOf(std::uint64_t sequence, const std::string &key)
{
    LedgerRequest request;
    request.m_attempt = {1, sequence};
    request.m_key = key;
    request.m_fingerprint = 11;
    request.m_boundTo = own;
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
    RequestLedger ledger(own, LedgerLimits());
    BOOST_TEST((verdictOf(ledger, requestOf(1, "k")) == LedgerVerdict::Run));
    BOOST_TEST((verdictOf(ledger, requestOf(2, "k")) == LedgerVerdict::AlreadyRunning));
    ledger.onCompleted({1, 1}, answer, start);
    const LedgerDecision replay = ledger.dispatch(requestOf(3, "k"), start);
    BOOST_TEST((replay == LedgerDecision{LedgerVerdict::Replay, answer}));
}

BOOST_AUTO_TEST_CASE(a_key_for_another_request_or_another_run_is_refused)
{
    RequestLedger ledger(own, LedgerLimits());
    verdictOf(ledger, requestOf(1, "k"));
    LedgerRequest other = requestOf(2, "k");
    other.m_fingerprint = 12;
    BOOST_TEST((verdictOf(ledger, other) == LedgerVerdict::KeyReusedForOtherRequest));
    other.m_boundTo = Incarnation{2};
    BOOST_TEST((verdictOf(ledger, other) == LedgerVerdict::StaleIncarnation));
}

BOOST_AUTO_TEST_CASE(a_refused_attempt_stays_refused_and_its_key_runs_under_a_new_one)
{
    RequestLedger ledger(own, LedgerLimits());
    verdictOf(ledger, requestOf(1, "k"));
    ledger.onNeverStarted({1, 1}, start);
    BOOST_TEST((verdictOf(ledger, requestOf(1, "k")) == LedgerVerdict::RefusedTombstoned));
    BOOST_TEST((verdictOf(ledger, requestOf(2, "k")) == LedgerVerdict::Run));
}

BOOST_AUTO_TEST_CASE(a_tombstone_tells_what_is_known_of_the_attempt)
{
    RequestLedger ledger(own, LedgerLimits());
    BOOST_TEST((ledger.tombstone({1, 9}, start) == RunState::NotRun));
    BOOST_TEST((verdictOf(ledger, requestOf(9, "a")) == LedgerVerdict::RefusedTombstoned));
    verdictOf(ledger, requestOf(10, "b"));
    BOOST_TEST((ledger.tombstone({1, 10}, start) == RunState::Unknown));
    ledger.onCompleted({1, 10}, answer, start);
    BOOST_TEST((ledger.tombstone({1, 10}, start) == RunState::Ran));
}

BOOST_AUTO_TEST_CASE(a_late_copy_cannot_run_after_its_record_was_dropped)
{
    RequestLedger ledger(own, LedgerLimits());
    verdictOf(ledger, requestOf(1, ""));
    ledger.onCompleted({1, 1}, answer, start);
    ledger.tombstone({1, 2}, start);
    const TimePoint later = start + LedgerLimits().m_attemptRetention + Seconds(1);
    ledger.expire(later);
    BOOST_TEST(ledger.size() == 0U);
    BOOST_TEST((verdictOf(ledger, requestOf(1, ""), later) == LedgerVerdict::OutcomeUnknown));
    BOOST_TEST((verdictOf(ledger, requestOf(2, ""), later) == LedgerVerdict::OutcomeUnknown));
    BOOST_TEST((verdictOf(ledger, requestOf(3, ""), later) == LedgerVerdict::Run));
}

BOOST_AUTO_TEST_CASE(a_ticket_is_refused_once_its_record_was_dropped)
{
    RequestLedger ledger(own, LedgerLimits());
    LedgerRequest request = requestOf(1, "");
    request.m_ticket = Ticket{EndpointName("e"), own, 5, 1};
    BOOST_TEST((verdictOf(ledger, request) == LedgerVerdict::Run));
    ledger.onCompleted({1, 1}, answer, start);
    request.m_attempt.m_sequence = 2;
    const TimePoint later = start + LedgerLimits().m_keyRetention + Seconds(1);
    BOOST_TEST((verdictOf(ledger, request, later) == LedgerVerdict::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(a_full_ledger_refuses_new_keys_and_keeps_the_old)
{
    LedgerLimits limits;
    limits.m_maxBytes = 4000;
    RequestLedger ledger(own, limits);
    std::uint64_t sequence = 0;
    LedgerVerdict verdict = LedgerVerdict::Run;
    while (verdict == LedgerVerdict::Run) {
        ++sequence;
        verdict = verdictOf(ledger, requestOf(sequence, std::to_string(sequence)));
    }
    BOOST_TEST((verdict == LedgerVerdict::Full));
    BOOST_TEST(ledger.bytes() <= limits.m_maxBytes);
    BOOST_TEST((verdictOf(ledger, requestOf(90, "1")) == LedgerVerdict::AlreadyRunning));
    // Without room for a tombstone the refusal must hold all the same.
    BOOST_TEST((ledger.tombstone({1, 95}, start) == RunState::NotRun));
    BOOST_TEST((verdictOf(ledger, requestOf(95, "x")) != LedgerVerdict::Run));
}

BOOST_AUTO_TEST_CASE(keyless_records_give_way_before_a_request_is_refused)
{
    LedgerLimits limits;
    limits.m_maxBytes = 4000;
    RequestLedger ledger(own, limits);
    for (std::uint64_t sequence = 1; sequence <= 100; ++sequence) {
        BOOST_TEST((verdictOf(ledger, requestOf(sequence, "")) == LedgerVerdict::Run));
        ledger.onCompleted({1, sequence}, {}, start);
    }
    BOOST_TEST(ledger.bytes() <= limits.m_maxBytes);
    BOOST_TEST((verdictOf(ledger, requestOf(1, "")) == LedgerVerdict::OutcomeUnknown));
    BOOST_TEST((verdictOf(ledger, requestOf(100, "")) == LedgerVerdict::Replay));
}

BOOST_AUTO_TEST_CASE(an_answer_that_comes_after_all_to_a_dropped_keyless_request_is_ignored)
{
    LedgerLimits limits;
    limits.m_maxBytes = 1500;
    RequestLedger ledger(own, limits);
    verdictOf(ledger, requestOf(1, ""));
    ledger.onOutcomeUnknown({1, 1}, start);
    ledger.onCompleted({1, 1}, {200, "", std::string(4000, 'x')}, start);
    BOOST_TEST((verdictOf(ledger, requestOf(1, "")) == LedgerVerdict::OutcomeUnknown));
    BOOST_TEST(ledger.bytes() <= limits.m_maxBytes);
}

BOOST_AUTO_TEST_CASE(issuers_unheard_of_for_long_give_way_to_new_ones)
{
    IssuerFloors floors(2, Seconds(100));
    floors.raise(1, 5, start);
    floors.raise(2, 5, start);
    BOOST_TEST(floors.mayBeForgotten(1, 5));
    BOOST_TEST(!floors.mayBeForgotten(1, 6));
    BOOST_TEST(floors.hasRoomFor(2, start));
    BOOST_TEST(!floors.hasRoomFor(3, start));
    floors.raise(2, 6, start + Seconds(50));
    BOOST_TEST(floors.hasRoomFor(3, start + Seconds(101)));
    BOOST_TEST(floors.mayBeForgotten(2, 6));
}

BOOST_AUTO_TEST_CASE(a_lost_outcome_is_not_repeated)
{
    RequestLedger ledger(own, LedgerLimits());
    verdictOf(ledger, requestOf(1, "k"));
    ledger.onOutcomeUnknown({1, 1}, start);
    BOOST_TEST((verdictOf(ledger, requestOf(2, "k")) == LedgerVerdict::OutcomeUnknown));
}

BOOST_AUTO_TEST_SUITE_END()
