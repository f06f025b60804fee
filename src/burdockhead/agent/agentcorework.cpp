#include <burdockhead/agent/agentcore.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/transport/workerpool.h>

namespace burdockhead {

namespace {

constexpr Milliseconds probeLimit{1000};
// After its connection was closed, the endpoint may go on with a request this long.
constexpr Milliseconds cancelSettle{500};

} // namespace

void AgentCore::perform(const std::vector<AdmissionAction> &actions)
{
    for (const AdmissionAction &action : actions) {
        const WorkPointer work = find(action.m_id);
        switch (action.m_type) {
        case AdmissionActionType::Start:
            if (work)
                run(work);
            break;
        case AdmissionActionType::Refuse:
            if (work) {
                m_ledger.onNeverStarted(work->m_request.m_attempt, Clock::now());
                record(EventType::RequestRefused, work->m_request.m_facts, toString(action.m_kind));
                refuseAll(*work, action.m_kind, RunState::NotRun, "", action.m_comeBack);
                forget(work);
            }
            break;
        case AdmissionActionType::Cancel:
            if (work && !work->m_cancelled && !work->m_ended) {
                work->m_cancelled = true;
                ++m_counters.m_cancelled;
                record(EventType::RequestCancelled, work->m_request.m_facts,
                       toString(action.m_kind));
                refuseAll(*work, action.m_kind, RunState::Unknown, "moved", Clock::now());
                m_client.cancel(work->m_call);
            }
            break;
        case AdmissionActionType::Probe:
            probe(action.m_probe);
            break;
        }
    }
}

void AgentCore::run(const WorkPointer &work)
{
    work->m_running = true;
    ++m_counters.m_started;
    record(EventType::RequestAdmitted, work->m_request.m_facts, "");
    const DispatchFrame &request = work->m_request;
    EndpointCall call;
    call.m_method = request.m_method;
    call.m_path = request.m_path;
    call.m_contentType = request.m_contentType;
    call.m_body = request.m_body;
    call.m_key = request.m_facts.m_key;
    call.m_deadline = request.m_facts.m_deadline;
    call.m_repeatable = request.m_facts.m_repeatable;
    const auto weak = weak_from_this();
    const RequestId id = work->m_id;
    EndpointCallHandlers handlers;
    handlers.m_onHead = [weak, id](int status, const std::string &contentType,
                                   const EndpointHealth &health) {
        if (const auto self = weak.lock())
            self->onHead(id, status, contentType, health);
    };
    handlers.m_onData = [weak, id](std::string_view data) {
        if (const auto self = weak.lock())
            self->onData(id, data);
    };
    handlers.m_onDone = [weak, id](const HttpOutcome &outcome) {
        if (const auto self = weak.lock())
            self->onDone(id, outcome);
    };
    work->m_call = m_client.start(call, std::move(handlers));
}

void AgentCore::probe(std::uint64_t number)
{
    const auto answered = [weak = weak_from_this(),
                           number](const std::optional<EndpointHealth> &health) {
        const auto self = weak.lock();
        if (!self)
            return;
        const Lock lock(self->m_mutex);
        const TimePoint now = Clock::now();
        self->perform(health ? self->m_admission.probeAnswered(number, *health, now)
                             : self->m_admission.coldSignSeen(ColdSign::ProbeFailed, now));
    };
    m_client.probe(Clock::now() + probeLimit, answered);
}

void AgentCore::onHead(const RequestId &id, int status, const std::string &contentType,
                       const EndpointHealth &health)
{
    const Lock lock(m_mutex);
    const WorkPointer work = find(id);
    if (!work)
        return;
    work->m_headSeen = true;
    work->m_head = {work->m_request.m_attempt, status, contentType, false, {}};
    if (!work->m_keyed && !work->m_cancelled)
        send(*work, [&](const AttemptId &attempt) {
            return HeadFrame{attempt, status, contentType, false, m_events.stamp()};
        });
    perform(m_admission.responseSeen(id, health, Clock::now()));
}

void AgentCore::onData(const RequestId &id, std::string_view data)
{
    const Lock lock(m_mutex);
    const WorkPointer work = find(id);
    if (!work || work->m_cancelled)
        return;
    const std::uint64_t offset = work->m_length;
    work->m_length += data.size();
    if (work->m_keyed) {
        work->m_body.append(data);
        return;
    }
    send(*work, [&](const AttemptId &attempt) {
        return DataFrame{attempt, offset, std::string(data)};
    });
}

void AgentCore::onDone(const RequestId &id, const HttpOutcome &outcome)
{
    const Lock lock(m_mutex);
    const WorkPointer work = find(id);
    if (!work)
        return;
    const TimePoint now = Clock::now();
    const bool timedOut = now >= work->m_request.m_facts.m_deadline;
    work->m_ended = !outcome.m_cancelled;
    // The sign comes first: what the end makes room for may be too much for a cold endpoint.
    if (work->m_ended && !outcome.m_completed && !timedOut) {
        ++m_counters.m_coldSigns;
        m_events.record(EventType::EndpointCold, {std::nullopt, {}, m_endpoint},
                        "a connection broke: " + outcome.m_reason);
        perform(m_admission.coldSignSeen(ColdSign::ConnectionReset, now));
    }
    if (outcome.m_completed && !work->m_cancelled)
        complete(*work, now);
    else
        failRunning(*work, outcome, now);
    if (!work->m_ended) {
        // It counts against the limit until the endpoint has surely noticed.
        m_pool.runAt(now + cancelSettle, [weak = weak_from_this(), id] {
            if (const auto self = weak.lock())
                self->settleCancelled(id);
        });
        return;
    }
    forget(work);
    perform(
        m_admission.finished(id, outcome.m_completed ? RunEnd::Completed : RunEnd::Failed, now));
}

void AgentCore::settleCancelled(const RequestId &id)
{
    const Lock lock(m_mutex);
    if (const WorkPointer work = find(id))
        forget(work);
    perform(m_admission.finished(id, RunEnd::Failed, Clock::now()));
}

void AgentCore::complete(AgentWork &work, TimePoint now)
{
    ++m_counters.m_completed;
    record(EventType::RequestCompleted, work.m_request.m_facts, "at the endpoint");
    m_ledger.onCompleted(work.m_request.m_attempt,
                         {work.m_head.m_status, work.m_head.m_contentType, work.m_body}, now);
    const LoadReport load = loadReport();
    if (work.m_keyed) {
        send(work, [&](const AttemptId &attempt) {
            return HeadFrame{attempt, work.m_head.m_status, work.m_head.m_contentType, false,
                             m_events.stamp()};
        });
        send(work, [&](const AttemptId &attempt) { return DataFrame{attempt, 0, work.m_body}; });
    }
    send(work, [&](const AttemptId &attempt) {
        return EndFrame{attempt, work.m_length, load, m_events.stamp()};
    });
}

void AgentCore::failRunning(AgentWork &work, const HttpOutcome &outcome, TimePoint now)
{
    ++m_counters.m_failed;
    record(EventType::RequestFailed, work.m_request.m_facts, outcome.m_reason);
    const bool reached = outcome.m_sent;
    if (reached)
        m_ledger.onOutcomeUnknown(work.m_request.m_attempt, now);
    else
        m_ledger.onNeverStarted(work.m_request.m_attempt, now);
    if (work.m_cancelled)
        return;
    const ErrorKind broken = work.m_headSeen ? ErrorKind::StreamBroken : ErrorKind::EndpointFailed;
    refuseAll(work, reached && work.m_keyed ? ErrorKind::OutcomeUnknown : broken,
              reached ? RunState::Unknown : RunState::NotRun, outcome.m_reason, now + Seconds(1));
}

} // namespace burdockhead
