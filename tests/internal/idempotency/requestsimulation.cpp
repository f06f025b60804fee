#include "requestsimulation.h"

#include <array>

namespace burdockhead {

namespace {

constexpr std::size_t endpointCount = 2;
constexpr std::size_t entryCount = 3;
constexpr std::array<const char *, 4> keys = {"claimed-1", "claimed-2", "ticket-1", "ticket-2"};
constexpr std::uint64_t wallMilliseconds = 1'000'000;
constexpr Milliseconds timeStep{6LL * 60 * 1000};

bool isTicket(const std::string &key)
{
    return key.starts_with("ticket");
}

} // namespace

RequestSimulation::RequestSimulation(DisabledProtection disabled)
    : m_disabled(disabled)
    , m_blindResend(m_platform)
    , m_entries(entryCount)
{
    m_platform.m_faults = [this] {
        if (m_nextFaults.empty())
            return PlatformFault::None;
        const PlatformFault fault = m_nextFaults.front();
        m_nextFaults.pop_front();
        return fault;
    };
    for (Entry &entry : m_entries)
        startEntry(entry);
    for (std::uint32_t endpoint = 0; endpoint < endpointCount; ++endpoint)
        replaceAgent(endpoint);
}

void RequestSimulation::step(std::uint32_t event, std::uint32_t choice)
{
    switch (event % 16) {
    case 0:
    case 1:
    case 2:
        call(keys[choice % keys.size()], m_entries[choice / keys.size() % entryCount], choice / 16);
        break;
    case 3:
    case 4:
    case 5:
    case 6:
        deliver(choice, false);
        break;
    case 7:
        deliver(choice, true);
        break;
    case 8:
        if (!m_network.empty())
            m_network.erase(m_network.begin() + choice % m_network.size());
        break;
    case 9:
        replaceAgent(choice);
        break;
    case 10:
        resume(choice);
        break;
    case 11:
        finish(choice);
        break;
    case 12:
        abandon(choice);
        break;
    case 13:
        startEntry(m_entries[choice % entryCount]);
        break;
    case 14:
        m_nextFaults.push_back(choice % 2 == 0 ? PlatformFault::Down : PlatformFault::LostReply);
        break;
    case 15:
        if (choice % 2 == 0)
            m_isRefusing = !m_isRefusing;
        else
            m_now += timeStep;
        break;
    }
}

bool RequestSimulation::recovers()
{
    m_nextFaults.clear();
    m_isRefusing = false;
    for (Process &process : m_processes)
        process.m_isPaused = false;
    const auto deliverAll = [this] {
        while (!m_network.empty())
            deliver(0, false);
        for (std::uint32_t choice = 0; choice < 2 * m_processes.size(); choice += 2)
            finish(choice);
        while (!m_network.empty())
            deliver(0, false);
    };
    deliverAll();
    m_finalKeys.clear();
    for (const char *key : keys) {
        for (Entry &entry : m_entries) {
            call(key, entry, 0);
            deliverAll();
        }
    }
    return m_finalKeys.size() == keys.size();
}

void RequestSimulation::call(const std::string &key, Entry &entry, std::uint32_t choice)
{
    Message message;
    message.m_key = key;
    message.m_request.m_attempt = {entry.m_issuer, ++entry.m_sequence};
    message.m_request.m_fingerprint = 1;
    message.m_request.m_key = key;
    const auto binding = bindingOf(key, entry, choice);
    if (!binding)
        return reply(message, Outcome::NotRun);
    message.m_to = *binding;
    message.m_request.m_boundTo = *binding;
    if (isTicket(key) && m_disabled != DisabledProtection::Binding)
        message.m_request.m_ticket = m_tickets.at(key);
    m_network.push_back(message);
    m_sent.push_back(message);
}

std::optional<Incarnation> RequestSimulation::bindingOf(const std::string &key, Entry &entry,
                                                        std::uint32_t choice)
{
    const Process &newest = newestProcessOf(choice % endpointCount);
    if (m_disabled == DisabledProtection::Binding)
        return newest.m_incarnation;
    if (isTicket(key)) {
        if (!m_tickets.contains(key))
            m_tickets[key] = {EndpointName("e"), newest.m_incarnation, entry.m_issuer,
                              ++m_lastTicket};
        return m_tickets.at(key).m_incarnation;
    }
    std::optional<Incarnation> bound;
    std::vector<PendingClaim> batch;
    batch.push_back({{key, {EndpointName("e"), newest.m_incarnation}},
                     {},
                     [&](const std::optional<Binding> &binding, const Failure &) {
                         if (binding)
                             bound = binding->m_incarnation;
                     }});
    ClaimServiceCounters counters;
    for (int tries = 0; tries < 2 && !batch.empty(); ++tries)
        entry.m_writer->process(batch, wallMilliseconds, m_now, counters);
    return bound;
}

// Delivers any message of the network, or a duplicate of it.
void RequestSimulation::deliver(std::uint32_t choice, bool isDuplicate)
{
    if (m_network.empty())
        return;
    const auto position = m_network.begin() + choice % m_network.size();
    const Message message = *position;
    if (message.m_type == MessageType::Reply) {
        m_network.erase(position);
        return onReply(message);
    }
    Process *process = find(message.m_to);
    if (process->m_isPaused)
        return;
    if (!isDuplicate)
        m_network.erase(position);
    if (!process->m_isDead)
        receive(*process, message);
    else
        reply(message, Outcome::Unknown);
}

void RequestSimulation::receive(Process &process, const Message &message)
{
    if (message.m_type == MessageType::Dispatch)
        return dispatch(process, message);
    switch (process.m_ledger.tombstone(message.m_request.m_attempt, m_now)) {
    case RunState::NotRun:
        return reply(message, Outcome::NotRun);
    case RunState::Ran:
    case RunState::Unknown:
        return reply(message, Outcome::Unknown);
    }
}

void RequestSimulation::dispatch(Process &process, const Message &message)
{
    if (m_isRefusing && m_disabled == DisabledProtection::Tombstone)
        return reply(message, Outcome::NotRun);
    const LedgerDecision decision = process.m_ledger.dispatch(message.m_request, m_now);
    switch (decision.m_verdict) {
    case LedgerVerdict::Run:
        return run(process, message);
    case LedgerVerdict::Replay:
        return reply(message, Outcome::Response, decision.m_response->m_body);
    case LedgerVerdict::AlreadyRunning:
        process.m_waitingAttempts[message.m_key].push_back(message.m_request.m_attempt);
        return;
    case LedgerVerdict::RefusedTombstoned:
    case LedgerVerdict::Full:
        return reply(message, Outcome::NotRun);
    case LedgerVerdict::StaleIncarnation:
    case LedgerVerdict::KeyReusedForOtherRequest:
    case LedgerVerdict::OutcomeUnknown:
        return reply(message, Outcome::Unknown);
    }
}

void RequestSimulation::run(Process &process, const Message &message)
{
    if (m_isRefusing) {
        process.m_ledger.onNeverStarted(message.m_request.m_attempt, m_now);
        return reply(message, Outcome::NotRun);
    }
    process.m_waitingAttempts[message.m_key].push_back(message.m_request.m_attempt);
    m_attemptsRun.insert(message.m_request.m_attempt);
    m_hasHeld = m_hasHeld && ++m_runs[message.m_key] == 1;
    m_hasHeld = m_hasHeld && !m_reportedNotRun.contains(message.m_request.m_attempt);
}

// An endpoint completes a request, and its response arrives or is lost.
void RequestSimulation::finish(std::uint32_t choice)
{
    Process &process = m_processes[choice / 2 % m_processes.size()];
    if (process.m_isDead || process.m_isPaused || process.m_waitingAttempts.empty())
        return;
    const auto running = process.m_waitingAttempts.begin();
    const bool isLost = choice % 2 == 1;
    const std::string response = running->first + " by " + std::to_string(m_runs[running->first]);
    for (const AttemptId &attempt : running->second) {
        if (isLost)
            process.m_ledger.onOutcomeUnknown(attempt, m_now);
        else
            process.m_ledger.onCompleted(attempt, {200, "text/plain", response}, m_now);
        Message to;
        to.m_key = running->first;
        to.m_request.m_attempt = attempt;
        reply(to, isLost ? Outcome::Unknown : Outcome::Response, response);
    }
    process.m_waitingAttempts.erase(running);
}

void RequestSimulation::abandon(std::uint32_t choice)
{
    if (m_sent.empty())
        return;
    Message message = m_sent[choice % m_sent.size()];
    message.m_type = MessageType::Abandon;
    m_network.push_back(message);
}

// The agent's process dies, or is paused and declared dead; a new one starts.
void RequestSimulation::replaceAgent(std::uint32_t choice)
{
    const std::size_t endpoint = choice % endpointCount;
    for (Process &process : m_processes) {
        if (process.m_endpoint != endpoint || process.m_isDead)
            continue;
        process.m_isDead = choice / 2 % 2 == 0;
        process.m_isPaused = !process.m_isDead;
    }
    const Incarnation incarnation{++m_lastIncarnation};
    m_processes.push_back(
        {endpoint, incarnation, RequestLedger(incarnation, LedgerLimits()), false, false, {}});
}

void RequestSimulation::resume(std::uint32_t choice)
{
    m_processes[choice % m_processes.size()].m_isPaused = false;
}

void RequestSimulation::reply(const Message &to, Outcome outcome, const std::string &response)
{
    Message message = to;
    message.m_type = MessageType::Reply;
    message.m_outcome = outcome;
    message.m_response = response;
    if (outcome == Outcome::NotRun)
        m_hasHeld = m_hasHeld && !m_attemptsRun.contains(to.m_request.m_attempt);
    if (outcome == Outcome::NotRun)
        m_reportedNotRun.insert(to.m_request.m_attempt);
    m_network.push_back(message);
}

// The caller receives a reply.
void RequestSimulation::onReply(const Message &reply)
{
    if (reply.m_outcome != Outcome::NotRun)
        m_finalKeys.insert(reply.m_key);
    if (reply.m_outcome != Outcome::Response)
        return;
    const auto &first = m_responses.emplace(reply.m_key, reply.m_response).first->second;
    m_hasHeld = m_hasHeld && first == reply.m_response;
}

void RequestSimulation::startEntry(Entry &entry)
{
    entry.m_issuer = ++m_lastIssuer;
    entry.m_sequence = 0;
    ObjectApi &api = m_disabled == DisabledProtection::ReadBack
                         ? static_cast<ObjectApi &>(m_blindResend)
                         : m_platform;
    entry.m_writer.emplace(api, ClaimServiceOptions(), 0);
}

RequestSimulation::Process &RequestSimulation::newestProcessOf(std::size_t endpoint)
{
    for (auto process = m_processes.rbegin(); process != m_processes.rend(); ++process) {
        if (process->m_endpoint == endpoint)
            return *process;
    }
    return m_processes.back();
}

RequestSimulation::Process *RequestSimulation::find(Incarnation incarnation)
{
    return &m_processes[incarnation.m_value - 1];
}

} // namespace burdockhead
