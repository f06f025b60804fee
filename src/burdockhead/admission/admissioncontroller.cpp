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
    , m_coldStart(limits.m_coldLimit, limits.m_warmLimit)
    , m_comeBack(seed)
{}

std::vector<AdmissionAction> AdmissionController::setLimits(const AdmissionLimits &limits,
                                                            TimePoint now)
{
    m_limits = limits;
    m_coldStart.setLimits(limits.m_coldLimit, limits.m_warmLimit);
    std::vector<AdmissionAction> actions;
    pump(now, actions);
    return actions;
}

void AdmissionController::setShares(const std::vector<Workspace> &workspaces)
{
    m_queue->setShares(workspaces);
}

AdmissionDecision AdmissionController::offer(const RequestFacts &facts, TimePoint now)
{
    const QueuedRequest request{
        facts.m_id,       facts.m_workspace,  facts.m_kind,
        facts.m_priority, facts.m_repeatable, facts.m_deadline - m_serviceTimes.mean(facts.m_kind)};
    if (const auto kind = refusalFor(request, facts.m_deadline, now))
        return refused(*kind, now);
    AdmissionDecision decision;
    if (!makeRoomFor(request, now, decision.m_actions))
        return refused(m_coldStart.cold() ? ErrorKind::EndpointCold : ErrorKind::Overloaded, now);
    // With nothing running an estimate that has become too long could never be corrected.
    const TimePoint latestStart = m_running.size() == 0 ? facts.m_deadline : request.m_latestStart;
    m_queue->push(request);
    m_queued[request.m_id] = m_latestStarts.emplace(latestStart, request.m_id);
    pump(now, decision.m_actions);
    decision.m_verdict = AdmissionVerdict::Queued;
    const auto started = std::ranges::find_if(decision.m_actions, [&](const auto &action) {
        return action.m_type == AdmissionActionType::Start && action.m_id == facts.m_id;
    });
    if (started != decision.m_actions.end()) {
        decision.m_verdict = AdmissionVerdict::Run;
        decision.m_actions.erase(started);
    }
    return decision;
}

std::vector<AdmissionAction> AdmissionController::finished(const RequestId &id, RunEnd end,
                                                           TimePoint now)
{
    std::vector<AdmissionAction> actions;
    const auto ended = m_running.remove(id);
    if (!ended)
        return actions;
    m_window.confirmed(id);
    if (end == RunEnd::Completed) {
        m_serviceTimes.add(ended->m_kind, now - ended->m_startedAt);
        m_coldStart.completed(ended->m_epoch, now);
    }
    pump(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::cancelled(const RequestId &id, TimePoint now)
{
    std::vector<AdmissionAction> actions;
    if (forgetQueued(id))
        m_queue->remove(id);
    pump(now, actions);
    return actions;
}

std::vector<AdmissionAction>
AdmissionController::responseSeen(const RequestId &id, const EndpointHealth &health, TimePoint now)
{
    std::vector<AdmissionAction> actions;
    if (m_coldStart.healthSeen(health, now))
        cancelBeyondLimit(actions);
    else
        m_window.confirmed(id);
    pump(now, actions);
    return actions;
}

std::vector<AdmissionAction>
AdmissionController::probeAnswered(std::uint64_t probe, const EndpointHealth &health, TimePoint now)
{
    std::vector<AdmissionAction> actions;
    if (m_coldStart.healthSeen(health, now)) {
        m_window.probeFailed();
        cancelBeyondLimit(actions);
    } else {
        m_window.probeAnswered(probe);
    }
    pump(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::coldSignSeen(ColdSign sign, TimePoint now)
{
    std::vector<AdmissionAction> actions;
    m_coldStart.sign(sign, now);
    m_window.probeFailed();
    if (sign != ColdSign::ProbeFailed)
        cancelBeyondLimit(actions);
    pump(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::tick(TimePoint now)
{
    if (m_window.probeOutstanding() && now >= m_probeDeadline)
        return coldSignSeen(ColdSign::ProbeFailed, now);
    std::vector<AdmissionAction> actions;
    pump(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionController::startLeaving(TimePoint now)
{
    std::vector<AdmissionAction> actions;
    m_leaving = true;
    while (const auto request = m_queue->pop())
        actions.push_back(refuse(request->m_id, ErrorKind::EndpointLeaving, now));
    m_queued.clear();
    m_latestStarts.clear();
    return actions;
}

LoadReport AdmissionController::report() const
{
    using std::chrono::microseconds;
    LoadReport report;
    report.m_running = static_cast<std::uint32_t>(m_running.size());
    report.m_queued = static_cast<std::uint32_t>(m_queue->size());
    report.m_concurrencyLimit = m_coldStart.limit();
    report.m_averageServiceMicroseconds = static_cast<std::uint32_t>(
        std::chrono::duration_cast<microseconds>(m_serviceTimes.mean()).count());
    report.m_isCold = m_coldStart.cold();
    report.m_isLeaving = m_leaving;
    return report;
}

std::optional<TimePoint> AdmissionController::nextTick() const
{
    std::optional<TimePoint> next;
    if (m_queue->bounded() && !m_latestStarts.empty())
        next = m_latestStarts.begin()->first;
    if (m_window.probeOutstanding())
        next = next ? std::min(*next, m_probeDeadline) : m_probeDeadline;
    return next;
}

std::optional<ErrorKind> AdmissionController::refusalFor(const QueuedRequest &request,
                                                         TimePoint deadline, TimePoint now) const
{
    if (m_leaving)
        return ErrorKind::EndpointLeaving;
    if (m_queued.contains(request.m_id) || m_running.contains(request.m_id))
        return ErrorKind::Overloaded;
    if (!m_queue->bounded())
        return std::nullopt;
    if (deadline <= now)
        return ErrorKind::DeadlineTooShort;
    const std::size_t ahead = m_queue->aheadOf(request);
    if (!m_running.size() == 0 && now + waitBehind(ahead) > request.m_latestStart)
        return ErrorKind::DeadlineTooShort;
    return std::nullopt;
}

bool AdmissionController::forgetQueued(const RequestId &id)
{
    const auto queued = m_queued.find(id);
    if (queued == m_queued.end())
        return false;
    m_latestStarts.erase(queued->second);
    m_queued.erase(queued);
    return true;
}

bool AdmissionController::makeRoomFor(const QueuedRequest &request, TimePoint now,
                                      std::vector<AdmissionAction> &actions)
{
    const bool startsAtOnce = m_queue->size() == 0 && m_running.size() < m_coldStart.limit();
    if (!m_queue->bounded() || startsAtOnce || m_queue->size() < m_limits.m_queueLimit)
        return true;
    const auto victim = m_queue->victimFor(request);
    if (!victim)
        return false;
    m_queue->remove(*victim);
    forgetQueued(*victim);
    actions.push_back(refuse(*victim, ErrorKind::Overloaded, now));
    return true;
}

AdmissionDecision AdmissionController::refused(ErrorKind kind, TimePoint now)
{
    AdmissionDecision decision;
    decision.m_kind = kind;
    decision.m_comeBack = comeBack(now);
    return decision;
}

AdmissionAction AdmissionController::refuse(const RequestId &id, ErrorKind kind, TimePoint now)
{
    return {AdmissionActionType::Refuse, id, kind, comeBack(now), 0};
}

// Starts what may start, and asks for a probe when only unconfirmed requests hold it up.
void AdmissionController::pump(TimePoint now, std::vector<AdmissionAction> &actions)
{
    expire(now, actions);
    while (m_running.size() < m_coldStart.limit() && m_queue->size() > 0) {
        if (!m_window.mayStart(m_limits.m_unconfirmedLimit.value_or(m_limits.m_coldLimit))) {
            askForProbe(now, actions);
            return;
        }
        const auto request = m_queue->pop();
        forgetQueued(request->m_id);
        m_running.add(
            {request->m_id, request->m_kind, request->m_repeatable, m_coldStart.epoch(), now});
        m_window.started(request->m_id);
        actions.push_back({AdmissionActionType::Start, request->m_id, {}, {}, 0});
    }
}

void AdmissionController::askForProbe(TimePoint now, std::vector<AdmissionAction> &actions)
{
    if (m_window.probeOutstanding())
        return;
    m_probeDeadline = now + m_limits.m_probeTimeout;
    actions.push_back({AdmissionActionType::Probe, {}, {}, {}, m_window.probeAsked()});
}

void AdmissionController::expire(TimePoint now, std::vector<AdmissionAction> &actions)
{
    if (!m_queue->bounded())
        return;
    while (!m_latestStarts.empty() && m_latestStarts.begin()->first < now) {
        const RequestId id = m_latestStarts.begin()->second;
        forgetQueued(id);
        m_queue->remove(id);
        actions.push_back(refuse(id, ErrorKind::DeadlineTooShort, now));
    }
}

void AdmissionController::cancelBeyondLimit(std::vector<AdmissionAction> &actions)
{
    for (const RequestId &id : m_running.cancelBeyond(m_coldStart.limit()))
        actions.push_back({AdmissionActionType::Cancel, id, ErrorKind::EndpointCold, {}, 0});
}

Duration AdmissionController::waitBehind(std::size_t ahead) const
{
    const std::size_t limit = std::max<std::size_t>(m_coldStart.limit(), 1);
    if (ahead == 0 && m_running.size() < limit)
        return Duration::zero();
    return m_serviceTimes.mean() * (ahead + 1) / limit;
}

TimePoint AdmissionController::comeBack(TimePoint now)
{
    const std::size_t limit = std::max<std::size_t>(m_coldStart.limit(), 1);
    const Duration spacing = m_serviceTimes.mean() / limit;
    return m_comeBack.next(now, waitBehind(m_queue->size()), spacing, m_limits.m_longestComeBack);
}

} // namespace burdockhead
