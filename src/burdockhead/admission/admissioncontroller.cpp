#include <burdockhead/admission/admissioncontroller.h>
#include <burdockhead/admission/fairsharequeue.h>

#include <algorithm>

namespace burdockhead {

AdmissionController::AdmissionController(const AdmissionLimits &limits, std::uint64_t seed)
    : AdmissionController(limits, seed, std::make_unique<FairShareQueue>())
{}

AdmissionController::AdmissionController(const AdmissionLimits &limits, std::uint64_t seed,
                                         std::unique_ptr<RequestQueue> queue)
    : m_limits(limits)
    , m_queue(std::move(queue))
    , m_coldStartLimiter(limits.m_coldLimit, limits.m_warmLimit)
    , m_retrySchedule(seed)
{}

std::vector<AdmissionAction> AdmissionController::setLimits(const AdmissionLimits &limits,
                                                            TimePoint now)
{
    m_limits = limits;
    m_coldStartLimiter.setLimits(limits.m_coldLimit, limits.m_warmLimit);
    std::vector<AdmissionAction> actions;
    startQueued(now, actions);
    return actions;
}

void AdmissionController::setShares(const std::vector<Workspace> &workspaces)
{
    m_queue->setShares(workspaces);
}

AdmissionDecision AdmissionController::offer(const RequestAttributes &attributes, TimePoint now)
{
    const QueuedRequest request{
        attributes.m_id,
        attributes.m_workspace,
        attributes.m_kind,
        attributes.m_priority,
        attributes.m_repeatable,
        attributes.m_deadline - m_serviceTimeEstimator.average(attributes.m_kind)};
    if (const auto kind = refusalFor(request, attributes.m_deadline, now))
        return refusedDecision(*kind, now);
    AdmissionDecision decision;
    if (!makeRoomFor(request, now, decision.m_actions))
        return refusedDecision(
            m_coldStartLimiter.isCold() ? ErrorKind::EndpointCold : ErrorKind::Overloaded, now);
    // Without running requests an estimate that is too high could never be corrected, so the
    // request may start until its deadline.
    const TimePoint latestStart =
        m_running.size() == 0 ? attributes.m_deadline : request.m_latestStart;
    m_queue->push(request);
    m_latestStartOf[request.m_id] = m_latestStarts.emplace(latestStart, request.m_id);
    startQueued(now, decision.m_actions);
    decision.m_verdict = AdmissionVerdict::Queued;
    const auto started = std::ranges::find_if(decision.m_actions, [&](const auto &action) {
        return action.m_type == AdmissionActionType::Start && action.m_id == attributes.m_id;
    });
    if (started != decision.m_actions.end()) {
        decision.m_verdict = AdmissionVerdict::Run;
        decision.m_actions.erase(started);
    }
    return decision;
}

std::vector<AdmissionAction> AdmissionController::onFinished(const RequestId &id,
                                                             RunOutcome outcome, TimePoint now)
{
    std::vector<AdmissionAction> actions;
    const auto ended = m_running.remove(id);
    if (!ended)
        return actions;
    m_unconfirmedWindow.onConfirmed(id);
    if (outcome == RunOutcome::Completed) {
        m_serviceTimeEstimator.add(ended->m_kind, now - ended->m_startedAt);
        m_coldStartLimiter.onCompleted(ended->m_epoch, now);
    }
    startQueued(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::onCancelled(const RequestId &id, TimePoint now)
{
    std::vector<AdmissionAction> actions;
    if (untrackQueued(id))
        m_queue->remove(id);
    startQueued(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::onResponseHead(const RequestId &id,
                                                                 const EndpointHealth &health,
                                                                 TimePoint now)
{
    std::vector<AdmissionAction> actions;
    if (m_coldStartLimiter.onHealth(health, now))
        cancelOverLimit(actions);
    else
        m_unconfirmedWindow.onConfirmed(id);
    startQueued(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::onProbeResponse(std::uint64_t probeNumber,
                                                                  const EndpointHealth &health,
                                                                  TimePoint now)
{
    std::vector<AdmissionAction> actions;
    if (m_coldStartLimiter.onHealth(health, now)) {
        m_unconfirmedWindow.onProbeFailed();
        cancelOverLimit(actions);
    } else {
        m_unconfirmedWindow.onProbeResponse(probeNumber);
    }
    startQueued(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::onColdStartSignal(ColdStartSignal signal,
                                                                    TimePoint now)
{
    std::vector<AdmissionAction> actions;
    m_coldStartLimiter.onSignal(signal, now);
    m_unconfirmedWindow.onProbeFailed();
    if (signal != ColdStartSignal::ProbeFailed)
        cancelOverLimit(actions);
    startQueued(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::tick(TimePoint now)
{
    if (m_unconfirmedWindow.isProbeOutstanding() && now >= m_probeDeadline)
        return onColdStartSignal(ColdStartSignal::ProbeFailed, now);
    std::vector<AdmissionAction> actions;
    startQueued(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::startDraining(TimePoint now)
{
    std::vector<AdmissionAction> actions;
    m_isDraining = true;
    while (const auto request = m_queue->pop())
        actions.push_back(refuseAction(request->m_id, ErrorKind::EndpointLeaving, now));
    m_latestStartOf.clear();
    m_latestStarts.clear();
    return actions;
}

LoadReport AdmissionController::loadReport() const
{
    using std::chrono::microseconds;
    LoadReport report;
    report.m_running = static_cast<std::uint32_t>(m_running.size());
    report.m_queued = static_cast<std::uint32_t>(m_queue->size());
    report.m_concurrencyLimit = m_coldStartLimiter.limit();
    report.m_averageServiceMicroseconds = static_cast<std::uint32_t>(
        std::chrono::duration_cast<microseconds>(m_serviceTimeEstimator.average()).count());
    report.m_isCold = m_coldStartLimiter.isCold();
    report.m_isLeaving = m_isDraining;
    return report;
}

std::optional<TimePoint> AdmissionController::nextTick() const
{
    std::optional<TimePoint> next;
    if (m_queue->isBounded() && !m_latestStarts.empty())
        next = m_latestStarts.begin()->first;
    if (m_unconfirmedWindow.isProbeOutstanding())
        next = next ? std::min(*next, m_probeDeadline) : m_probeDeadline;
    return next;
}

std::optional<ErrorKind> AdmissionController::refusalFor(const QueuedRequest &request,
                                                         TimePoint deadline, TimePoint now) const
{
    if (m_isDraining)
        return ErrorKind::EndpointLeaving;
    if (m_latestStartOf.contains(request.m_id) || m_running.contains(request.m_id))
        return ErrorKind::Overloaded;
    if (!m_queue->isBounded())
        return std::nullopt;
    if (deadline <= now)
        return ErrorKind::DeadlineTooShort;
    const std::size_t requestsAhead = m_queue->aheadOf(request);
    if (!m_running.size() == 0 && now + estimatedWait(requestsAhead) > request.m_latestStart)
        return ErrorKind::DeadlineTooShort;
    return std::nullopt;
}

bool AdmissionController::untrackQueued(const RequestId &id)
{
    const auto queued = m_latestStartOf.find(id);
    if (queued == m_latestStartOf.end())
        return false;
    m_latestStarts.erase(queued->second);
    m_latestStartOf.erase(queued);
    return true;
}

bool AdmissionController::makeRoomFor(const QueuedRequest &request, TimePoint now,
                                      std::vector<AdmissionAction> &actions)
{
    const bool canStartNow = m_queue->size() == 0 && m_running.size() < m_coldStartLimiter.limit();
    if (!m_queue->isBounded() || canStartNow || m_queue->size() < m_limits.m_queueLimit)
        return true;
    const auto victim = m_queue->victimFor(request);
    if (!victim)
        return false;
    m_queue->remove(*victim);
    untrackQueued(*victim);
    actions.push_back(refuseAction(*victim, ErrorKind::Overloaded, now));
    return true;
}

AdmissionDecision AdmissionController::refusedDecision(ErrorKind kind, TimePoint now)
{
    AdmissionDecision decision;
    decision.m_errorKind = kind;
    decision.m_retryAfter = nextRetryAfter(now);
    return decision;
}

AdmissionAction AdmissionController::refuseAction(const RequestId &id, ErrorKind kind,
                                                  TimePoint now)
{
    return {AdmissionActionType::Refuse, id, kind, nextRetryAfter(now), 0};
}

// Starts queued requests up to the limit, and requests a probe when only the bound on unconfirmed
// requests prevents a start.
void AdmissionController::startQueued(TimePoint now, std::vector<AdmissionAction> &actions)
{
    refuseExpired(now, actions);
    while (m_running.size() < m_coldStartLimiter.limit() && m_queue->size() > 0) {
        if (!m_unconfirmedWindow.canStart(
                m_limits.m_unconfirmedLimit.value_or(m_limits.m_coldLimit))) {
            requestProbe(now, actions);
            return;
        }
        const auto request = m_queue->pop();
        untrackQueued(request->m_id);
        m_running.add({request->m_id, request->m_kind, request->m_repeatable,
                       m_coldStartLimiter.epoch(), now});
        m_unconfirmedWindow.onStarted(request->m_id);
        actions.push_back({AdmissionActionType::Start, request->m_id, {}, {}, 0});
    }
}

void AdmissionController::requestProbe(TimePoint now, std::vector<AdmissionAction> &actions)
{
    if (m_unconfirmedWindow.isProbeOutstanding())
        return;
    m_probeDeadline = now + m_limits.m_probeTimeout;
    actions.push_back({AdmissionActionType::Probe, {}, {}, {}, m_unconfirmedWindow.startProbe()});
}

void AdmissionController::refuseExpired(TimePoint now, std::vector<AdmissionAction> &actions)
{
    if (!m_queue->isBounded())
        return;
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        const RequestId id = m_latestStarts.begin()->second;
        untrackQueued(id);
        m_queue->remove(id);
        actions.push_back(refuseAction(id, ErrorKind::DeadlineTooShort, now));
    }
}

void AdmissionController::cancelOverLimit(std::vector<AdmissionAction> &actions)
{
    for (const RequestId &id : m_running.cancelExcess(m_coldStartLimiter.limit()))
        actions.push_back({AdmissionActionType::Cancel, id, ErrorKind::EndpointCold, {}, 0});
}

Duration AdmissionController::estimatedWait(std::size_t requestsAhead) const
{
    const std::size_t limit = std::max<std::size_t>(m_coldStartLimiter.limit(), 1);
    if (requestsAhead == 0 && m_running.size() < limit)
        return Duration::zero();
    return m_serviceTimeEstimator.average() * (requestsAhead + 1) / limit;
}

TimePoint AdmissionController::nextRetryAfter(TimePoint now)
{
    const std::size_t limit = std::max<std::size_t>(m_coldStartLimiter.limit(), 1);
    const Duration spacing = m_serviceTimeEstimator.average() / limit;
    return m_retrySchedule.next(now, estimatedWait(m_queue->size()), spacing,
                                m_limits.m_maxRetryDelay);
}

} // namespace burdockhead
