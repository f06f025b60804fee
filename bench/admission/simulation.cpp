#include "simulation.h"

#include <burdockhead/admission/fairsharequeue.h>
#include <burdockhead/admission/firstcomefirstserved.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Duration probeRoundTrip = std::chrono::microseconds(500);
constexpr int heavyWorkspace = 0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::unique_ptr<RequestQueue> queueOf(bool naive)
{
    if (naive)
        return std::make_unique<FirstComeFirstServed>();
    return std::make_unique<FairShareQueue>();
}

} // namespace

Simulation::Simulation(const SimulationSettings &settings)
    : m_settings(settings)
    , m_controller(settings.m_limits, settings.m_seed, queueOf(settings.m_naive))
    , m_random(settings.m_seed)
    , m_end(TimePoint() + settings.m_length)
    , m_offered(settings.m_lightWorkspaces + 1)
    , m_inTime(settings.m_lightWorkspaces + 1)
{}

SimulationResult Simulation::run()
{
    for (int workspace = 0; workspace <= m_settings.m_lightWorkspaces; ++workspace) {
        if (rateOf(workspace) > 0)
            m_events.push({m_now + drawn(1 / rateOf(workspace)), EventType::Arrival, workspace});
    }
    if (m_settings.m_turnAt)
        m_events.push({m_now + *m_settings.m_turnAt, EventType::Turn});
    while (!m_events.empty() && m_events.top().m_at <= m_end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.m_at;
        handle(event);
        if (const auto tick = m_controller.nextTick())
            m_events.push({std::max(*tick, m_now) + Milliseconds(1), EventType::Tick});
    }
    m_result.m_heavy = static_cast<double>(m_inTime[heavyWorkspace])
                       / std::max<std::uint64_t>(m_offered[heavyWorkspace], 1);
    for (std::size_t workspace = 1; workspace < m_offered.size(); ++workspace) {
        const double part = static_cast<double>(m_inTime[workspace])
                            / std::max<std::uint64_t>(m_offered[workspace], 1);
        m_result.m_worstLight = std::min(m_result.m_worstLight, part);
    }
    return m_result;
}

Duration Simulation::drawn(double meanSeconds)
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
    case EventType::ProbeAnswer:
        m_noticed = m_noticed || (m_turned && event.m_boot == m_boot);
        apply(m_controller.probeAnswered(event.m_probe, health(event.m_boot), m_now));
        break;
    case EventType::Turn:
        turn();
        break;
    case EventType::Tick:
        apply(m_controller.tick(m_now));
        break;
    }
    const bool warmAgain = m_turned && m_noticed && !m_controller.report().m_isCold;
    if (warmAgain && m_result.m_warmAfterSeconds == 0)
        m_result.m_warmAfterSeconds = seconds(m_now - *m_turned);
}

void Simulation::arrive(int workspace)
{
    m_events.push({m_now + drawn(1 / rateOf(workspace)), EventType::Arrival, workspace});
    RequestFacts facts;
    facts.m_id = {0, ++m_lastId};
    facts.m_workspace = WorkspaceName(std::to_string(workspace));
    facts.m_deadline = m_now + m_settings.m_patience;
    m_callers[facts.m_id] = {workspace, m_now, facts.m_deadline, 0};
    ++m_result.m_offered;
    ++m_offered[workspace];
    const AdmissionDecision decision = m_controller.offer(facts, m_now);
    if (decision.m_verdict == AdmissionVerdict::Run)
        start(facts.m_id);
    if (decision.m_verdict == AdmissionVerdict::Refused)
        refuse(facts.m_id, decision.m_comeBack);
    apply(decision.m_actions);
}

void Simulation::complete(const Event &event)
{
    const auto found = m_callers.find(event.m_id);
    if (found == m_callers.end())
        return;
    const Caller caller = found->second;
    m_callers.erase(found);
    // The turn ends what was at the endpoint; the agent learns of it when it would have ended.
    const bool lost = caller.m_boot != m_boot;
    if (!lost && m_now <= caller.m_deadline) {
        ++m_result.m_inTime;
        ++m_inTime[caller.m_workspace];
    } else if (!lost) {
        ++m_result.m_late;
    }
    if (!lost) {
        m_noticed = m_noticed || m_turned.has_value();
        apply(m_controller.responseSeen(event.m_id, health(m_boot), m_now));
    }
    apply(m_controller.finished(event.m_id, lost ? RunEnd::Failed : RunEnd::Completed, m_now));
}

void Simulation::turn()
{
    ++m_boot;
    m_turned = m_now;
}

void Simulation::start(const RequestId &id)
{
    Caller &caller = m_callers.at(id);
    caller.m_boot = m_boot;
    ++m_result.m_started;
    m_result.m_waitSeconds.push_back(seconds(m_now - caller.m_arrived));
    if (m_turned && !m_noticed)
        m_result.m_mostWhileUnnoticed = std::max(m_result.m_mostWhileUnnoticed, ++m_sinceTurn);
    m_events.push({m_now + drawn(m_settings.m_meanService), EventType::Completion, 0, id});
}

void Simulation::refuse(const RequestId &id, TimePoint comeBack)
{
    const auto found = m_callers.find(id);
    ++m_result.m_refused;
    m_result.m_refusalSeconds.push_back(seconds(m_now - found->second.m_arrived));
    m_result.m_comeBackSeconds.push_back(seconds(comeBack - m_now));
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
            refuse(action.m_id, action.m_comeBack);
            break;
        case AdmissionActionType::Cancel:
            m_callers.erase(action.m_id);
            m_controller.finished(action.m_id, RunEnd::Failed, m_now);
            break;
        case AdmissionActionType::Probe:
            ++m_result.m_probes;
            m_events.push(
                {m_now + probeRoundTrip, EventType::ProbeAnswer, 0, {}, action.m_probe, m_boot});
            break;
        }
    }
}

EndpointHealth Simulation::health(std::uint64_t boot) const
{
    return {std::to_string(boot), false};
}

} // namespace burdockhead
