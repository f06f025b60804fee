#include "endpointworld.h"

#include <algorithm>

namespace burdockhead {

namespace {

constexpr std::uint32_t coldLimit = 2;
constexpr std::uint32_t warmLimit = 8;
constexpr std::uint32_t coldCompletions = 3; // After which the endpoint no longer says cold.

AdmissionLimits limitsOf(WithoutHold without)
{
    AdmissionLimits limits;
    limits.m_coldLimit = coldLimit;
    limits.m_warmLimit = warmLimit;
    if (without == WithoutHold::Window)
        limits.m_unconfirmedLimit = warmLimit;
    return limits;
}

} // namespace

EndpointWorld::EndpointWorld(WithoutHold without)
    : m_without(without)
    , m_controller(limitsOf(without), 1)
{}

void EndpointWorld::step(std::uint32_t event, std::uint32_t choice)
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
        arrive();
        break;
    case 6:
    case 7:
    case 8:
        complete(choice);
        break;
    case 9:
    case 10:
    case 11:
        hear(choice);
        break;
    case 12:
        if (choice % 4 == 0)
            restart(choice / 4 % 2 == 0);
        else if (choice % 4 == 1)
            coolDown();
        break;
    case 13:
        m_now += Milliseconds(choice % 400);
        apply(m_controller.tick(m_now));
        break;
    case 14:
        if (!m_words.empty() && m_words[choice % m_words.size()].m_type == WordType::ProbeAnswer)
            m_words.erase(m_words.begin() + choice % m_words.size());
        break;
    case 15:
        if (choice % 16 == 0)
            leave();
        else
            apply(m_controller.cancelled({0, m_lastId - choice % 4}, m_now));
        break;
    }
    check();
}

bool EndpointWorld::recovers()
{
    constexpr int rounds = 200;
    for (int round = 0; round < rounds; ++round) {
        offer(1);
        complete(0);
        while (!m_connecting.empty() || !m_words.empty()) {
            arrive();
            hear(0);
        }
        m_now += Seconds(1);
        apply(m_controller.tick(m_now));
        check();
    }
    if (m_left)
        return m_controller.drained();
    return !m_controller.report().m_isCold;
}

void EndpointWorld::offer(std::uint32_t choice)
{
    RequestFacts facts;
    facts.m_id = {0, ++m_lastId};
    facts.m_repeatable = choice % 4 != 0;
    facts.m_deadline = m_now + Seconds(60);
    const AdmissionDecision decision = m_controller.offer(facts, m_now);
    if (decision.m_verdict == AdmissionVerdict::Run)
        apply({{AdmissionActionType::Start, facts.m_id, {}, {}, 0}});
    if (decision.m_verdict == AdmissionVerdict::Refused)
        m_refused.insert(facts.m_id);
    apply(decision.m_actions);
}

// The oldest thing that the agent sent reaches the endpoint as it is now.
void EndpointWorld::arrive()
{
    if (m_connecting.empty())
        return;
    const Sent sent = m_connecting.front();
    m_connecting.pop_front();
    if (sent.m_probe != 0) {
        m_words.push_back({WordType::ProbeAnswer, {}, sent.m_probe, health()});
        return;
    }
    m_holds = m_holds && !m_refused.contains(sent.m_id);
    m_load[sent.m_id] = {m_boot, m_turn};
}

// The endpoint's process starts anew: what it had is gone, and resets may follow.
void EndpointWorld::restart(bool silent)
{
    for (const auto &[id, load] : m_load)
        m_words.push_back({silent ? WordType::Ended : WordType::Reset, id, 0, {}});
    m_load.clear();
    ++m_boot;
    ++m_turn;
    m_completedSinceTurn = 0;
    m_saysCold = false;
}

// The same process turns cold, and goes on with what it had.
void EndpointWorld::coolDown()
{
    ++m_turn;
    m_completedSinceTurn = 0;
    m_saysCold = true;
}

void EndpointWorld::complete(std::uint32_t choice)
{
    if (m_load.empty())
        return;
    const auto done = std::next(m_load.begin(), choice % m_load.size());
    if (done->second.m_turn == m_turn && ++m_completedSinceTurn >= coldCompletions)
        m_saysCold = false;
    m_words.push_back({WordType::Response, done->first, 0, health()});
    m_load.erase(done);
}

// Any word of the endpoint reaches the agent.
void EndpointWorld::hear(std::uint32_t choice)
{
    if (m_words.empty())
        return;
    const auto place = m_words.begin() + choice % m_words.size();
    const Word word = *place;
    m_words.erase(place);
    const bool deaf = m_without == WithoutHold::Signs;
    const EndpointHealth health = deaf ? EndpointHealth() : word.m_health;
    switch (word.m_type) {
    case WordType::Response:
        apply(m_controller.responseSeen(word.m_id, health, m_now));
        apply(m_controller.finished(word.m_id, RunEnd::Completed, m_now));
        break;
    case WordType::Reset:
        if (!deaf)
            apply(m_controller.coldSignSeen(ColdSign::ConnectionReset, m_now));
        apply(m_controller.finished(word.m_id, RunEnd::Failed, m_now));
        break;
    case WordType::Ended:
        apply(m_controller.finished(word.m_id, RunEnd::Failed, m_now));
        break;
    case WordType::ProbeAnswer:
        apply(m_controller.probeAnswered(word.m_probe, health, m_now));
        break;
    }
}

void EndpointWorld::apply(const std::vector<AdmissionAction> &actions)
{
    for (const AdmissionAction &action : actions) {
        switch (action.m_type) {
        case AdmissionActionType::Start:
            m_holds = m_holds && !m_left;
            m_connecting.push_back({0, action.m_id});
            break;
        case AdmissionActionType::Refuse:
            m_refused.insert(action.m_id);
            break;
        case AdmissionActionType::Cancel:
            cancel(action.m_id);
            break;
        case AdmissionActionType::Probe:
            if (m_without == WithoutHold::Order)
                m_connecting.push_front({action.m_probe, {}});
            else
                m_connecting.push_back({action.m_probe, {}});
            break;
        }
    }
}

// The endpoint ends a cancelled request at once if it still has it; the agent learns later.
void EndpointWorld::cancel(const RequestId &id)
{
    if (m_without == WithoutHold::Counting)
        return apply(m_controller.finished(id, RunEnd::Failed, m_now));
    if (m_load.erase(id) == 1)
        m_words.push_back({WordType::Ended, id, 0, {}});
}

void EndpointWorld::leave()
{
    if (m_without != WithoutHold::Refusal)
        apply(m_controller.startLeaving(m_now));
    m_left = true;
}

void EndpointWorld::check()
{
    const auto received = std::ranges::count_if(
        m_load, [this](const auto &item) { return item.second.m_turn == m_turn; });
    const std::uint32_t canCarry =
        m_saysCold ? coldLimit : std::min(warmLimit, coldLimit + m_completedSinceTurn);
    m_holds = m_holds && received <= canCarry;
    m_holds =
        m_holds
        && !(m_controller.drained() && !m_connecting.empty() && m_connecting.back().m_probe == 0);
}

EndpointHealth EndpointWorld::health() const
{
    return {"boot-" + std::to_string(m_boot), m_saysCold};
}

} // namespace burdockhead
