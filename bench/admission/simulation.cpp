#include "simulation.h"

#include <burdockhead/admission/fairsharequeue.h>
#include <burdockhead/admission/fifoqueue.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Duration probeRoundTrip = std::chrono::microseconds(500);
constexpr int heavyWorkspace = 0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::unique_ptr<RequestQueue> makeQueue(bool isFifo)
{
    if (isFifo)
        return std::make_unique<FifoQueue>();
    return std::make_unique<FairShareQueue>();
}

} // namespace

Simulation::Simulation(const SimulationSettings &settings)
    : m_settings(settings)
    , m_controller(settings.m_limits, settings.m_seed, makeQueue(settings.m_isFifo))
    , m_random(settings.m_seed)
    , m_end(TimePoint() + settings.m_length)
    , m_offered(settings.m_lightWorkspaces + 1)
    , m_inTime(settings.m_lightWorkspaces + 1)
{}

SimulationResult Simulation::run()
{
    for (int workspace = 0; workspace <= m_settings.m_lightWorkspaces; ++workspace) {
        if (rateOf(workspace) > 0)
            m_events.push(
                {m_now + drawInterval(1 / rateOf(workspace)), EventType::Arrival, workspace});
    }
    if (m_settings.m_coldRestartAt)
        m_events.push({m_now + *m_settings.m_coldRestartAt, EventType::ColdRestart});
    while (!m_events.empty() && m_events.top().m_at <= m_end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.m_at;
        handle(event);
        if (const auto tick = m_controller.nextTick())
            m_events.push({std::max(*tick, m_now) + Milliseconds(1), EventType::Tick});
    }
    m_result.m_heavyInTime = static_cast<double>(m_inTime[heavyWorkspace])
                             / std::max<std::uint64_t>(m_offered[heavyWorkspace], 1);
    for (std::size_t workspace = 1; workspace < m_offered.size(); ++workspace) {
        const double inTime = static_cast<double>(m_inTime[workspace])
                              / std::max<std::uint64_t>(m_offered[workspace], 1);
        m_result.m_worstLightInTime = std::min(m_result.m_worstLightInTime, inTime);
    }
    return m_result;
}

Duration Simulation::drawInterval(double meanSeconds)
{
    std::exponential_distribution<double> distribution(1 / meanSeconds);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(distribution(m_random)));
}

double Simulation::rateOf(int workspace) const
{
    return workspace == heavyWorkspace ? m_settings.m_heavyRate : m_settings.m_lightRate;
}

void Simulation::handle(const Event &event)
{
    switch (event.m_type) {
    case EventType::Arrival:
        arrive(event.m_workspace);
        break;
    case EventType::Completion:
        complete(event);
        break;
    case EventType::ProbeResponse:
        m_isNoticed = m_isNoticed || (m_coldRestartedAt && event.m_boot == m_boot);
        apply(m_controller.onProbeResponse(event.m_probeNumber, health(event.m_boot), m_now));
        break;
    case EventType::ColdRestart:
        coldRestart();
        break;
    case EventType::Tick:
        apply(m_controller.tick(m_now));
        break;
    }
    const bool isWarmAgain =
        m_coldRestartedAt && m_isNoticed && !m_controller.loadReport().m_isCold;
    if (isWarmAgain && m_result.m_warmAfterSeconds == 0)
        m_result.m_warmAfterSeconds = seconds(m_now - *m_coldRestartedAt);
}

void Simulation::arrive(int workspace)
{
    m_events.push({m_now + drawInterval(1 / rateOf(workspace)), EventType::Arrival, workspace});
    RequestAttributes attributes;
    attributes.m_id = {0, ++m_lastId};
    attributes.m_workspace = WorkspaceName(std::to_string(workspace));
    attributes.m_deadline = m_now + m_settings.m_requestTimeout;
    m_callers[attributes.m_id] = {workspace, m_now, attributes.m_deadline, 0};
    ++m_result.m_offered;
    ++m_offered[workspace];
    const AdmissionDecision decision = m_controller.offer(attributes, m_now);
    if (decision.m_verdict == AdmissionVerdict::Run)
        start(attributes.m_id);
    if (decision.m_verdict == AdmissionVerdict::Refused)
        refuse(attributes.m_id, decision.m_retryAfter);
    apply(decision.m_actions);
}

void Simulation::complete(const Event &event)
{
    const auto found = m_callers.find(event.m_id);
    if (found == m_callers.end())
        return;
    const Caller caller = found->second;
    m_callers.erase(found);
    // The restart ends the requests at the endpoint; the agent detects it at their scheduled
    // completion.
    const bool isLost = caller.m_boot != m_boot;
    if (!isLost && m_now <= caller.m_deadline) {
        ++m_result.m_inTime;
        ++m_inTime[caller.m_workspace];
    } else if (!isLost) {
        ++m_result.m_late;
    }
    if (!isLost) {
        m_isNoticed = m_isNoticed || m_coldRestartedAt.has_value();
        apply(m_controller.onResponseHead(event.m_id, health(m_boot), m_now));
    }
    apply(m_controller.onFinished(event.m_id, isLost ? RunOutcome::Failed : RunOutcome::Completed,
                                  m_now));
}

void Simulation::coldRestart()
{
    ++m_boot;
    m_coldRestartedAt = m_now;
}

void Simulation::start(const RequestId &id)
{
    Caller &caller = m_callers.at(id);
    caller.m_boot = m_boot;
    ++m_result.m_started;
    m_result.m_waitSeconds.push_back(seconds(m_now - caller.m_arrivedAt));
    if (m_coldRestartedAt && !m_isNoticed)
        m_result.m_startedWhileUnnoticed =
            std::max(m_result.m_startedWhileUnnoticed, ++m_startedSinceColdRestart);
    m_events.push({m_now + drawInterval(m_settings.m_meanService), EventType::Completion, 0, id});
}

void Simulation::refuse(const RequestId &id, TimePoint retryAfter)
{
    const auto found = m_callers.find(id);
    ++m_result.m_refused;
    m_result.m_refusalSeconds.push_back(seconds(m_now - found->second.m_arrivedAt));
    m_result.m_retryDelaySeconds.push_back(seconds(retryAfter - m_now));
    m_callers.erase(found);
}

void Simulation::apply(const std::vector<AdmissionAction> &actions)
{
    for (const AdmissionAction &action : actions) {
        switch (action.m_type) {
        case AdmissionActionType::Start:
            start(action.m_id);
            break;
        case AdmissionActionType::Refuse:
            refuse(action.m_id, action.m_retryAfter);
            break;
        case AdmissionActionType::Cancel:
            m_callers.erase(action.m_id);
            m_controller.onFinished(action.m_id, RunOutcome::Failed, m_now);
            break;
        case AdmissionActionType::Probe:
            ++m_result.m_probes;
            m_events.push({m_now + probeRoundTrip,
                           EventType::ProbeResponse,
                           0,
                           {},
                           action.m_probeNumber,
                           m_boot});
            break;
        }
    }
}

EndpointHealth Simulation::health(std::uint64_t boot) const
{
    return {std::to_string(boot), false};
}

} // namespace burdockhead
