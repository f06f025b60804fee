#include <burdockhead/agent/agentcore.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/transport/workerpool.h>

namespace burdockhead {

namespace {

constexpr Milliseconds probeTimeout{1000};
// The endpoint may continue with a request for this long after its connection was closed, or begin
// one that it had read before.
constexpr Milliseconds closedSettleTime{500};

} // namespace

void AgentCore::perform(const std::vector<AdmissionAction> &actions)
{
    for (const AdmissionAction &action : actions) {
        const AgentRequestPointer request = find(action.m_id);
        switch (action.m_type) {
        case AdmissionActionType::Start:
            if (request)
                run(request);
            break;
        case AdmissionActionType::Refuse:
            if (request) {
                m_ledger.onNeverStarted(request->m_dispatch.m_attempt, Clock::now());
                record(EventType::RequestRefused, request->m_dispatch.m_facts,
                       toString(action.m_errorKind));
                refuseAll(*request, action.m_errorKind, RunState::NotRun, "", action.m_retryAfter);
                remove(request);
            }
            break;
        case AdmissionActionType::Cancel:
            if (request && !request->m_isCancelled && !request->m_hasEnded) {
                request->m_isCancelled = true;
                ++m_counters.m_cancelled;
                record(EventType::RequestCancelled, request->m_dispatch.m_facts,
                       toString(action.m_errorKind));
                refuseAll(*request, action.m_errorKind, RunState::Unknown, "moved", Clock::now());
                m_client.cancel(request->m_callId);
            }
            break;
        case AdmissionActionType::Probe:
            probe(action.m_probeNumber);
            break;
        }
    }
}

void AgentCore::run(const AgentRequestPointer &request)
{
    request->m_isRunning = true;
    ++m_counters.m_started;
    record(EventType::RequestAdmitted, request->m_dispatch.m_facts, "");
    const DispatchFrame &dispatch = request->m_dispatch;
    EndpointCall call;
    call.m_method = dispatch.m_method;
    call.m_path = dispatch.m_path;
    call.m_contentType = dispatch.m_contentType;
    call.m_body = dispatch.m_body;
    call.m_idempotencyKey = dispatch.m_facts.m_idempotencyKey;
    call.m_deadline = dispatch.m_facts.m_deadline;
    call.m_repeatable = dispatch.m_facts.m_repeatable;
    const auto weak = weak_from_this();
    const RequestId id = request->m_id;
    EndpointCallHandlers callHandlers;
    callHandlers.m_onHead = [weak, id](int status, const std::string &contentType,
                                       const EndpointHealth &health) {
        if (const auto self = weak.lock())
            self->onHead(id, status, contentType, health);
    };
    callHandlers.m_onData = [weak, id](std::string_view data) {
        if (const auto self = weak.lock())
            self->onData(id, data);
    };
    callHandlers.m_onDone = [weak, id](const HttpOutcome &outcome) {
        if (const auto self = weak.lock())
            self->onDone(id, outcome);
    };
    request->m_callId = m_client.start(call, std::move(callHandlers));
}

void AgentCore::probe(std::uint64_t number)
{
    const auto onResponse = [weak = weak_from_this(),
                             number](const std::optional<EndpointHealth> &health) {
        const auto self = weak.lock();
        if (!self)
            return;
        const Lock lock(self->m_mutex);
        const TimePoint now = Clock::now();
        self->perform(health
                          ? self->m_admission.onProbeResponse(number, *health, now)
                          : self->m_admission.onColdStartSignal(ColdStartSignal::ProbeFailed, now));
    };
    m_client.probe(Clock::now() + probeTimeout, onResponse);
}

void AgentCore::onHead(const RequestId &id, int status, const std::string &contentType,
                       const EndpointHealth &health)
{
    const Lock lock(m_mutex);
    const AgentRequestPointer request = find(id);
    if (!request)
        return;
    request->m_hasHead = true;
    request->m_responseHead = {request->m_dispatch.m_attempt, status, contentType, false, {}};
    if (!request->m_hasKey && !request->m_isCancelled)
        send(*request, [&](const AttemptId &attempt) {
            return HeadFrame{attempt, status, contentType, false, m_events.stamp()};
        });
    perform(m_admission.onResponseHead(id, health, Clock::now()));
}

void AgentCore::onData(const RequestId &id, std::string_view data)
{
    const Lock lock(m_mutex);
    const AgentRequestPointer request = find(id);
    if (!request || request->m_isCancelled)
        return;
    const std::uint64_t offset = request->m_bodyBytes;
    request->m_bodyBytes += data.size();
    if (request->m_hasKey) {
        request->m_body.append(data);
        return;
    }
    send(*request, [&](const AttemptId &attempt) {
        return DataFrame{attempt, offset, std::string(data)};
    });
}

void AgentCore::onDone(const RequestId &id, const HttpOutcome &outcome)
{
    const Lock lock(m_mutex);
    const AgentRequestPointer request = find(id);
    if (!request)
        return;
    const TimePoint now = Clock::now();
    const bool hasTimedOut = now >= request->m_dispatch.m_facts.m_deadline;
    request->m_hasEnded = !outcome.m_cancelled;
    // The signal is handled before the end: a request started in the freed place may overload a
    // cold endpoint.
    if (request->m_hasEnded && !outcome.m_completed && !hasTimedOut) {
        ++m_counters.m_coldStartSignals;
        m_events.record(EventType::EndpointCold, {std::nullopt, {}, m_endpoint},
                        "a connection broke: " + outcome.m_reason);
        perform(m_admission.onColdStartSignal(ColdStartSignal::ConnectionReset, now));
    }
    if (outcome.m_completed && !request->m_isCancelled)
        complete(*request, now);
    else
        failRunning(*request, outcome, now);
    if (request->m_hasEnded)
        remove(request);
    // The endpoint may have read a request without beginning it when the connection broke.
    const bool mayStillRun =
        !outcome.m_completed && outcome.m_sent && (!request->m_hasHead || hasTimedOut);
    if (!request->m_hasEnded || mayStillRun) {
        // It counts against the limit until the endpoint has certainly detected the closed
        // connection.
        m_pool.runAt(now + closedSettleTime, [weak = weak_from_this(), id] {
            if (const auto self = weak.lock())
                self->finishClosed(id);
        });
        return;
    }
    perform(m_admission.onFinished(
        id, outcome.m_completed ? RunOutcome::Completed : RunOutcome::Failed, now));
}

void AgentCore::finishClosed(const RequestId &id)
{
    const Lock lock(m_mutex);
    if (const AgentRequestPointer request = find(id))
        remove(request);
    perform(m_admission.onFinished(id, RunOutcome::Failed, Clock::now()));
}

void AgentCore::complete(AgentRequest &request, TimePoint now)
{
    ++m_counters.m_completed;
    record(EventType::RequestCompleted, request.m_dispatch.m_facts, "at the endpoint");
    m_ledger.onCompleted(
        request.m_dispatch.m_attempt,
        {request.m_responseHead.m_status, request.m_responseHead.m_contentType, request.m_body},
        now);
    const LoadReport load = loadReportLocked();
    if (request.m_hasKey) {
        send(request, [&](const AttemptId &attempt) {
            return HeadFrame{attempt, request.m_responseHead.m_status,
                             request.m_responseHead.m_contentType, false, m_events.stamp()};
        });
        send(request, [&](const AttemptId &attempt) {
            return DataFrame{attempt, 0, request.m_body};
        });
    }
    send(request, [&](const AttemptId &attempt) {
        return EndFrame{attempt, request.m_bodyBytes, load, m_events.stamp()};
    });
}

void AgentCore::failRunning(AgentRequest &request, const HttpOutcome &outcome, TimePoint now)
{
    ++m_counters.m_failed;
    record(EventType::RequestFailed, request.m_dispatch.m_facts, outcome.m_reason);
    const bool wasSent = outcome.m_sent;
    if (wasSent)
        m_ledger.onOutcomeUnknown(request.m_dispatch.m_attempt, now);
    else
        m_ledger.onNeverStarted(request.m_dispatch.m_attempt, now);
    if (request.m_isCancelled)
        return;
    const ErrorKind brokenKind =
        request.m_hasHead ? ErrorKind::StreamBroken : ErrorKind::EndpointFailed;
    refuseAll(request, wasSent && request.m_hasKey ? ErrorKind::OutcomeUnknown : brokenKind,
              wasSent ? RunState::Unknown : RunState::NotRun, outcome.m_reason, now + Seconds(1));
}

} // namespace burdockhead
