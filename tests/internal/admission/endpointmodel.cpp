#include "endpointmodel.h"

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::uint32_t coldLimit = 2;
constexpr std::uint32_t warmLimit = 8;
constexpr std::uint32_t coldCompletions =
    3; // After these the endpoint no longer reports a cold start.

AdmissionLimits limitsWithout(DisabledMechanism disabled)
{
    AdmissionLimits limits;
    limits.m_coldLimit = coldLimit;
    limits.m_warmLimit = warmLimit;
    if (disabled == DisabledMechanism::Window)
        limits.m_unconfirmedLimit = warmLimit;
    return limits;
}

} // namespace

EndpointModel::EndpointModel(DisabledMechanism disabled)
    : m_disabled(disabled)
    , m_controller(limitsWithout(disabled), 1)
{}

void EndpointModel::runEvent(std::uint32_t event, std::uint32_t choice)
{
    m_now += Milliseconds(1);
    switch (event % 16) {
    case 0:
    case 1:
    case 2:
        offer(choice);
        break;
    case 3:
    case 4:
    case 5:
        deliverRequest();
        break;
    case 6:
    case 7:
    case 8:
        complete(choice);
        break;
    case 9:
    case 10:
    case 11:
        deliverMessage(choice);
        break;
    case 12:
        if (choice % 4 == 0)
            restart(choice / 4 % 2 == 0);
        else if (choice % 4 == 1)
            turnCold();
        break;
    case 13:
        m_now += Milliseconds(choice % 400);
        apply(m_controller.tick(m_now));
        break;
    case 14:
        if (!m_messages.empty()
            && m_messages[choice % m_messages.size()].m_type == MessageType::ProbeResponse)
            m_messages.erase(m_messages.begin() + choice % m_messages.size());
        break;
    case 15:
        if (choice % 16 == 0)
            startDraining();
        else
            apply(m_controller.onCancelled({0, m_lastId - choice % 4}, m_now));
        break;
    }
    check();
}

bool EndpointModel::recovers()
{
    constexpr int rounds = 200;
    for (int round = 0; round < rounds; ++round) {
        offer(1);
        complete(0);
        while (!m_inTransit.empty() || !m_messages.empty()) {
            deliverRequest();
            deliverMessage(0);
        }
        m_now += Seconds(1);
        apply(m_controller.tick(m_now));
        check();
    }
    if (m_isDraining)
        return m_controller.isDrained();
    return !m_controller.loadReport().m_isCold;
}

void EndpointModel::offer(std::uint32_t choice)
{
    RequestAttributes attributes;
    attributes.m_id = {0, ++m_lastId};
    attributes.m_repeatable = choice % 4 != 0;
    attributes.m_deadline = m_now + Seconds(60);
    const AdmissionDecision decision = m_controller.offer(attributes, m_now);
    if (decision.m_verdict == AdmissionVerdict::Run)
        apply({{AdmissionActionType::Start, attributes.m_id, {}, {}, 0}});
    if (decision.m_verdict == AdmissionVerdict::Refused)
        m_refused.insert(attributes.m_id);
    apply(decision.m_actions);
}

// Delivers the oldest transmission to the endpoint in its current state.
void EndpointModel::deliverRequest()
{
    if (m_inTransit.empty())
        return;
    const Transmission transmission = m_inTransit.front();
    m_inTransit.pop_front();
    if (transmission.m_probeNumber != 0) {
        m_messages.push_back(
            {MessageType::ProbeResponse, {}, transmission.m_probeNumber, health()});
        return;
    }
    m_invariantsHold = m_invariantsHold && !m_refused.contains(transmission.m_id);
    m_received[transmission.m_id] = {m_boot, m_coldStarts};
}

// Restarts the endpoint's process: its requests are lost, and the agent receives resets for them
// unless the restart is silent.
void EndpointModel::restart(bool isSilent)
{
    for (const auto &[id, request] : m_received)
        m_messages.push_back({isSilent ? MessageType::Ended : MessageType::Reset, id, 0, {}});
    m_received.clear();
    ++m_boot;
    ++m_coldStarts;
    m_completedSinceColdStart = 0;
    m_isReportedCold = false;
}

// Begins a cold start in the same process; its requests continue.
void EndpointModel::turnCold()
{
    ++m_coldStarts;
    m_completedSinceColdStart = 0;
    m_isReportedCold = true;
}

void EndpointModel::complete(std::uint32_t choice)
{
    if (m_received.empty())
        return;
    const auto completed = std::next(m_received.begin(), choice % m_received.size());
    if (completed->second.m_coldStarts == m_coldStarts
        && ++m_completedSinceColdStart >= coldCompletions)
        m_isReportedCold = false;
    m_messages.push_back({MessageType::Response, completed->first, 0, health()});
    m_received.erase(completed);
}

// Delivers any one message of the endpoint to the agent.
void EndpointModel::deliverMessage(std::uint32_t choice)
{
    if (m_messages.empty())
        return;
    const auto position = m_messages.begin() + choice % m_messages.size();
    const Message message = *position;
    m_messages.erase(position);
    const bool ignoresSignals = m_disabled == DisabledMechanism::Signals;
    const EndpointHealth health = ignoresSignals ? EndpointHealth() : message.m_health;
    switch (message.m_type) {
    case MessageType::Response:
        apply(m_controller.onResponseHead(message.m_id, health, m_now));
        apply(m_controller.onFinished(message.m_id, RunOutcome::Completed, m_now));
        break;
    case MessageType::Reset:
        if (!ignoresSignals)
            apply(m_controller.onColdStartSignal(ColdStartSignal::ConnectionReset, m_now));
        apply(m_controller.onFinished(message.m_id, RunOutcome::Failed, m_now));
        break;
    case MessageType::Ended:
        apply(m_controller.onFinished(message.m_id, RunOutcome::Failed, m_now));
        break;
    case MessageType::ProbeResponse:
        apply(m_controller.onProbeResponse(message.m_probeNumber, health, m_now));
        break;
    }
}

void EndpointModel::apply(const std::vector<AdmissionAction> &actions)
{
    for (const AdmissionAction &action : actions) {
        switch (action.m_type) {
        case AdmissionActionType::Start:
            m_invariantsHold = m_invariantsHold && !m_isDraining;
            m_inTransit.push_back({0, action.m_id});
            break;
        case AdmissionActionType::Refuse:
            m_refused.insert(action.m_id);
            break;
        case AdmissionActionType::Cancel:
            cancel(action.m_id);
            break;
        case AdmissionActionType::Probe:
            if (m_disabled == DisabledMechanism::Ordering)
                m_inTransit.push_front({action.m_probeNumber, {}});
            else
                m_inTransit.push_back({action.m_probeNumber, {}});
            break;
        }
    }
}

// Ends a cancelled request at the endpoint at once if it is there; the agent is notified later.
void EndpointModel::cancel(const RequestId &id)
{
    if (m_disabled == DisabledMechanism::RunningCount)
        return apply(m_controller.onFinished(id, RunOutcome::Failed, m_now));
    if (m_received.erase(id) == 1)
        m_messages.push_back({MessageType::Ended, id, 0, {}});
}

void EndpointModel::startDraining()
{
    if (m_disabled != DisabledMechanism::Refusal)
        apply(m_controller.startDraining(m_now));
    m_isDraining = true;
}

void EndpointModel::check()
{
    const auto received = std::ranges::count_if(
        m_received, [this](const auto &item) { return item.second.m_coldStarts == m_coldStarts; });
    const std::uint32_t capacity =
        m_isReportedCold ? coldLimit : std::min(warmLimit, coldLimit + m_completedSinceColdStart);
    m_invariantsHold = m_invariantsHold && received <= capacity;
    m_invariantsHold = m_invariantsHold
                       && !(m_controller.isDrained() && !m_inTransit.empty()
                            && m_inTransit.back().m_probeNumber == 0);
}

EndpointHealth EndpointModel::health() const
{
    return {"boot-" + std::to_string(m_boot), m_isReportedCold};
}

} // namespace burdockhead
