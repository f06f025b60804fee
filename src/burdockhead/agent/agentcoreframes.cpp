#include <burdockhead/agent/agentcore.h>
#include <burdockhead/idempotency/ticket.h>
#include <burdockhead/observe/eventring.h>

#include <xxhash.h>

// What arrives from entries: dispatches, look-ups, cancellations and the loss of links.
namespace burdockhead {

namespace {

std::uint64_t fingerprint(const DispatchFrame &frame)
{
    const std::string text = frame.m_method + "\n" + frame.m_path + "\n" + frame.m_body;
    return XXH3_64bits(text.data(), text.size());
}

// Keys are the workspace's own; the separator can't stand in a workspace's name.
std::string ledgerKey(const RequestFacts &facts)
{
    return facts.m_key.empty() ? std::string() : facts.m_workspace.text() + "\n" + facts.m_key;
}

LedgerRequest ledgerRequest(const DispatchFrame &frame)
{
    LedgerRequest request;
    request.m_attempt = frame.m_attempt;
    request.m_key = ledgerKey(frame.m_facts);
    request.m_fingerprint = fingerprint(frame);
    request.m_boundTo = frame.m_boundTo;
    request.m_ticket = Ticket::parse(frame.m_facts.m_key);
    return request;
}

} // namespace

void AgentCore::onFrame(const FrameConnectionPointer &connection, const Frame &frame)
{
    if (const auto *dispatch = std::get_if<DispatchFrame>(&frame))
        onDispatch(connection, *dispatch);
    else if (const auto *cancel = std::get_if<CancelFrame>(&frame))
        onCancel(cancel->m_attempt);
}

void AgentCore::onDispatch(const FrameConnectionPointer &connection, const DispatchFrame &frame)
{
    m_events.receive(frame.m_sentAt);
    const Lock lock(m_mutex);
    if (frame.m_onlyIfKnown) {
        onLookUp(connection, frame);
        return;
    }
    const TimePoint now = Clock::now();
    const AnswerSubscriber subscriber{connection, frame.m_attempt};
    ++m_counters.m_dispatches;
    const LedgerDecision decision = m_ledger.dispatch(ledgerRequest(frame), now);
    switch (decision.m_verdict) {
    case LedgerVerdict::Run:
        admit(connection, frame, now);
        return;
    case LedgerVerdict::Replay:
        record(EventType::KeyAnswered, frame.m_facts, "answered from the ledger");
        replay(subscriber, *decision.m_response);
        return;
    case LedgerVerdict::AlreadyRunning:
        attach(subscriber, frame);
        return;
    case LedgerVerdict::RefusedTombstoned:
        refuse(subscriber, ErrorKind::Cancelled, RunState::NotRun, "the attempt was given up", now);
        return;
    case LedgerVerdict::StaleIncarnation:
        refuse(subscriber, ErrorKind::StaleIncarnation, RunState::NotRun, "", now);
        return;
    case LedgerVerdict::KeyReusedForOtherRequest:
        refuse(subscriber, ErrorKind::KeyReusedForOtherRequest, RunState::NotRun, "", now);
        return;
    case LedgerVerdict::OutcomeUnknown:
        refuse(subscriber, ErrorKind::OutcomeUnknown, RunState::Unknown, "", now);
        return;
    case LedgerVerdict::Full:
        refuse(subscriber, ErrorKind::Overloaded, RunState::NotRun, "the ledger is full",
               now + Seconds(1));
        return;
    }
}

void AgentCore::onLookUp(const FrameConnectionPointer &connection, const DispatchFrame &frame)
{
    const AnswerSubscriber subscriber{connection, frame.m_attempt};
    const LedgerDecision decision = m_ledger.lookUp(ledgerRequest(frame));
    switch (decision.m_verdict) {
    case LedgerVerdict::Replay:
        replay(subscriber, *decision.m_response);
        return;
    case LedgerVerdict::AlreadyRunning:
        connection->send(HeadFrame{frame.m_attempt, processingStatus, "", false, m_events.stamp()});
        return;
    case LedgerVerdict::Run:
        refuse(subscriber, ErrorKind::NoEndpoint, RunState::NotRun, "", Clock::now());
        return;
    default:
        refuse(subscriber, ErrorKind::OutcomeUnknown, RunState::Unknown, "", Clock::now());
        return;
    }
}

void AgentCore::admit(const FrameConnectionPointer &connection, const DispatchFrame &frame,
                      TimePoint now)
{
    const AnswerSubscriber subscriber{connection, frame.m_attempt};
    if (const auto closed = m_gate()) {
        m_ledger.onNeverStarted(frame.m_attempt, now);
        record(EventType::RequestRefused, frame.m_facts, toString(*closed));
        refuse(subscriber, *closed, RunState::NotRun, "", now + Seconds(1));
        return;
    }
    const auto work = std::make_shared<AgentWork>();
    work->m_id = RequestId::draw(m_random);
    work->m_request = frame;
    work->m_keyed = !frame.m_facts.m_key.empty();
    work->m_subscribers.push_back(subscriber);
    RequestFacts facts = frame.m_facts;
    facts.m_id = work->m_id;
    const AdmissionDecision decision = m_admission.offer(facts, now);
    if (decision.m_verdict == AdmissionVerdict::Refused) {
        m_ledger.onNeverStarted(frame.m_attempt, now);
        record(EventType::RequestRefused, frame.m_facts, toString(decision.m_kind));
        refuse(subscriber, decision.m_kind, RunState::NotRun, "", decision.m_comeBack);
    } else {
        m_works.emplace(work->m_id, work);
        m_byAttempt.emplace(frame.m_attempt, work->m_id);
        if (work->m_keyed)
            m_byKey.insert_or_assign(ledgerKey(frame.m_facts), work->m_id);
        if (decision.m_verdict == AdmissionVerdict::Run)
            run(work);
        else
            record(EventType::RequestQueued, frame.m_facts, "");
    }
    perform(decision.m_actions);
}

void AgentCore::replay(const AnswerSubscriber &subscriber, const StoredResponse &answer)
{
    ++m_counters.m_replayed;
    const AttemptId &attempt = subscriber.m_attempt;
    subscriber.m_connection->send(
        HeadFrame{attempt, answer.m_status, answer.m_contentType, true, m_events.stamp()});
    subscriber.m_connection->send(DataFrame{attempt, 0, answer.m_body});
    subscriber.m_connection->send(
        EndFrame{attempt, answer.m_body.size(), loadReport(), m_events.stamp()});
}

// The request runs for another attempt; this one gets the same answer when it ends.
void AgentCore::attach(const AnswerSubscriber &subscriber, const DispatchFrame &frame)
{
    const auto key = m_byKey.find(ledgerKey(frame.m_facts));
    const WorkPointer work = key == m_byKey.end() ? nullptr : find(key->second);
    if (!work) {
        refuse(subscriber, ErrorKind::OutcomeUnknown, RunState::Unknown, "it is running",
               Clock::now());
        return;
    }
    work->m_subscribers.push_back(subscriber);
    m_byAttempt.emplace(subscriber.m_attempt, work->m_id);
}

void AgentCore::onCancel(const AttemptId &attempt)
{
    const Lock lock(m_mutex);
    const auto found = m_byAttempt.find(attempt);
    if (found == m_byAttempt.end()) {
        m_ledger.tombstone(attempt, Clock::now());
        return;
    }
    const WorkPointer work = find(found->second);
    m_byAttempt.erase(found);
    std::erase_if(work->m_subscribers,
                  [&](const AnswerSubscriber &one) { return one.m_attempt == attempt; });
    if (work->m_subscribers.empty())
        abandon(work);
}

void AgentCore::onClosed(const FrameConnectionPointer &connection)
{
    const Lock lock(m_mutex);
    std::vector<WorkPointer> alone;
    for (const auto &[id, work] : m_works) {
        const auto gone = std::erase_if(work->m_subscribers, [&](const AnswerSubscriber &one) {
            if (one.m_connection != connection)
                return false;
            m_byAttempt.erase(one.m_attempt);
            return true;
        });
        if (gone > 0 && work->m_subscribers.empty())
            alone.push_back(work);
    }
    for (const WorkPointer &work : alone)
        abandon(work);
}

// Nobody waits for the answer any more. What may not be repeated and runs goes on, so that
// its answer can be asked for again.
void AgentCore::abandon(const WorkPointer &work)
{
    const TimePoint now = Clock::now();
    if (!work->m_running) {
        ++m_counters.m_cancelled;
        m_ledger.onNeverStarted(work->m_request.m_attempt, now);
        forget(work);
        perform(m_admission.cancelled(work->m_id, now));
        return;
    }
    if (work->m_keyed || work->m_cancelled)
        return;
    work->m_cancelled = true;
    m_client.cancel(work->m_call);
}

void AgentCore::forget(const WorkPointer &work)
{
    for (const AnswerSubscriber &subscriber : work->m_subscribers)
        m_byAttempt.erase(subscriber.m_attempt);
    if (work->m_keyed)
        m_byKey.erase(ledgerKey(work->m_request.m_facts));
    m_works.erase(work->m_id);
}

} // namespace burdockhead
