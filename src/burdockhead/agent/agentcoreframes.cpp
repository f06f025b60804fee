#include <burdockhead/agent/agentcore.h>
#include <burdockhead/idempotency/ticket.h>
#include <burdockhead/observe/eventring.h>

#include <xxhash.h>

// Handling of frames from entries: dispatches, lookups, cancellations and closed links.
namespace burdockhead {

namespace {

std::uint64_t fingerprint(const DispatchFrame &frame)
{
    const std::string text = frame.m_method + "\n" + frame.m_path + "\n" + frame.m_body;
    return XXH3_64bits(text.data(), text.size());
}

// Scopes the key to the workspace; a workspace name cannot contain the separator.
std::string ledgerKey(const RequestAttributes &attributes)
{
    return attributes.m_idempotencyKey.empty()
               ? std::string()
               : attributes.m_workspace.text() + "\n" + attributes.m_idempotencyKey;
}

LedgerRequest ledgerRequest(const DispatchFrame &frame)
{
    LedgerRequest request;
    request.m_attempt = frame.m_attempt;
    request.m_key = ledgerKey(frame.m_facts);
    request.m_fingerprint = fingerprint(frame);
    request.m_boundTo = frame.m_boundTo;
    request.m_ticket = Ticket::parse(frame.m_facts.m_idempotencyKey);
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
        onLookup(connection, frame);
        return;
    }
    const TimePoint now = Clock::now();
    const ResponseSubscriber subscriber{connection, frame.m_attempt};
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

void AgentCore::onLookup(const FrameConnectionPointer &connection, const DispatchFrame &frame)
{
    const ResponseSubscriber subscriber{connection, frame.m_attempt};
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
    const ResponseSubscriber subscriber{connection, frame.m_attempt};
    if (const auto refusal = m_refusalCheck()) {
        m_ledger.onNeverStarted(frame.m_attempt, now);
        record(EventType::RequestRefused, frame.m_facts, toString(*refusal));
        refuse(subscriber, *refusal, RunState::NotRun, "", now + Seconds(1));
        return;
    }
    const auto request = std::make_shared<AgentRequest>();
    request->m_id = RequestId::draw(m_random);
    request->m_dispatch = frame;
    request->m_hasKey = !frame.m_facts.m_idempotencyKey.empty();
    request->m_subscribers.push_back(subscriber);
    RequestAttributes attributes = frame.m_facts;
    attributes.m_id = request->m_id;
    const AdmissionDecision decision = m_admission.offer(attributes, now);
    if (decision.m_verdict == AdmissionVerdict::Refused) {
        m_ledger.onNeverStarted(frame.m_attempt, now);
        record(EventType::RequestRefused, frame.m_facts, toString(decision.m_errorKind));
        refuse(subscriber, decision.m_errorKind, RunState::NotRun, "", decision.m_retryAfter);
    } else {
        m_requests.emplace(request->m_id, request);
        m_requestByAttempt.emplace(frame.m_attempt, request->m_id);
        if (request->m_hasKey)
            m_requestByKey.insert_or_assign(ledgerKey(frame.m_facts), request->m_id);
        if (decision.m_verdict == AdmissionVerdict::Run)
            run(request);
        else
            record(EventType::RequestQueued, frame.m_facts, "");
    }
    perform(decision.m_actions);
}

void AgentCore::replay(const ResponseSubscriber &subscriber, const StoredResponse &response)
{
    ++m_counters.m_replayed;
    const AttemptId &attempt = subscriber.m_attempt;
    subscriber.m_connection->send(
        HeadFrame{attempt, response.m_status, response.m_contentType, true, m_events.stamp()});
    subscriber.m_connection->send(DataFrame{attempt, 0, response.m_body});
    subscriber.m_connection->send(
        EndFrame{attempt, response.m_body.size(), loadReportLocked(), m_events.stamp()});
}

void AgentCore::attach(const ResponseSubscriber &subscriber, const DispatchFrame &frame)
{
    const auto key = m_requestByKey.find(ledgerKey(frame.m_facts));
    const AgentRequestPointer request = key == m_requestByKey.end() ? nullptr : find(key->second);
    if (!request) {
        refuse(subscriber, ErrorKind::OutcomeUnknown, RunState::Unknown, "it is running",
               Clock::now());
        return;
    }
    request->m_subscribers.push_back(subscriber);
    m_requestByAttempt.emplace(subscriber.m_attempt, request->m_id);
}

void AgentCore::onCancel(const AttemptId &attempt)
{
    const Lock lock(m_mutex);
    const auto found = m_requestByAttempt.find(attempt);
    if (found == m_requestByAttempt.end()) {
        m_ledger.tombstone(attempt, Clock::now());
        return;
    }
    const AgentRequestPointer request = find(found->second);
    m_requestByAttempt.erase(found);
    std::erase_if(request->m_subscribers, [&](const ResponseSubscriber &subscriber) {
        return subscriber.m_attempt == attempt;
    });
    if (request->m_subscribers.empty())
        abandon(request);
}

void AgentCore::onClosed(const FrameConnectionPointer &connection)
{
    const Lock lock(m_mutex);
    std::vector<AgentRequestPointer> withoutSubscribers;
    for (const auto &[id, request] : m_requests) {
        const auto removed =
            std::erase_if(request->m_subscribers, [&](const ResponseSubscriber &subscriber) {
                if (subscriber.m_connection != connection)
                    return false;
                m_requestByAttempt.erase(subscriber.m_attempt);
                return true;
            });
        if (removed > 0 && request->m_subscribers.empty())
            withoutSubscribers.push_back(request);
    }
    for (const AgentRequestPointer &request : withoutSubscribers)
        abandon(request);
}

// No subscriber is left: removes a queued request and cancels a running one. A running request
// with a key continues, so that its response can be replayed.
void AgentCore::abandon(const AgentRequestPointer &request)
{
    const TimePoint now = Clock::now();
    if (!request->m_isRunning) {
        ++m_counters.m_cancelled;
        m_ledger.onNeverStarted(request->m_dispatch.m_attempt, now);
        remove(request);
        perform(m_admission.onCancelled(request->m_id, now));
        return;
    }
    if (request->m_hasKey || request->m_isCancelled)
        return;
    request->m_isCancelled = true;
    m_client.cancel(request->m_callId);
}

void AgentCore::remove(const AgentRequestPointer &request)
{
    for (const ResponseSubscriber &subscriber : request->m_subscribers)
        m_requestByAttempt.erase(subscriber.m_attempt);
    if (request->m_hasKey)
        m_requestByKey.erase(ledgerKey(request->m_dispatch.m_facts));
    m_requests.erase(request->m_id);
}

} // namespace burdockhead
