#include "fleetsimulation.h"

#include <burdockhead/quarantine/isolation.h>

#include <algorithm>
#include <set>

namespace burdockhead::test {

namespace {

const GroupName service("llm");
constexpr Milliseconds step{10};
constexpr std::size_t slots = 12;
constexpr Milliseconds patience{2000};
constexpr Milliseconds eventInterval{80};
constexpr Milliseconds answerTime{1900};
constexpr Milliseconds soundTime{300};
constexpr Milliseconds stallTime{1500};
constexpr Milliseconds restartTime{3000};
constexpr Milliseconds groupFormTime{1000};
constexpr Milliseconds heartbeatInterval{400};
constexpr Milliseconds refreshInterval{250};
constexpr std::size_t fanout = 4;
constexpr std::size_t countedCrashes = 5;
constexpr Milliseconds learningTime{3000};

} // namespace

FleetSimulation::FleetSimulation(const FleetOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_gateways(options.m_gateways)
    , m_endpoints(options.m_endpoints)
{
    for (std::size_t number = 0; number < m_gateways.size(); ++number)
        restartGateway(number);
    for (std::size_t number = 0; number < m_endpoints.size(); ++number)
        m_endpoints[number].m_run = {EndpointName("e" + std::to_string(number)), 1};
}

PromptPart FleetSimulation::part(const std::string &id)
{
    return {service, id};
}

void FleetSimulation::clearCounts()
{
    m_soundServed = 0;
    m_soundQuarantined = 0;
}

bool FleetSimulation::chance(double perStep)
{
    constexpr std::uint64_t resolution = 1000000;
    return m_random() % resolution < static_cast<std::uint64_t>(perStep * resolution);
}

void FleetSimulation::run(Milliseconds span)
{
    const double stepSeconds = std::chrono::duration<double>(step).count();
    for (const TimePoint end = m_now + span; m_now < end; m_now += step) {
        if (chance(m_options.m_soundPerSecond * stepSeconds))
            arrive(false);
        if (m_sendsFatal && chance(m_options.m_fatalPerSecond * stepSeconds))
            arrive(true);
        if (m_groupFailsAt && m_now >= *m_groupFailsAt)
            failGroup();
        for (Endpoint &endpoint : m_endpoints)
            advance(endpoint);
        for (std::size_t number = 0; number < m_gateways.size(); ++number) {
            gossip(number);
            dispatch(number);
        }
    }
}

void FleetSimulation::skip(Milliseconds span)
{
    for (Endpoint &endpoint : m_endpoints)
        endpoint.m_running.clear();
    for (Gateway &gateway : m_gateways)
        gateway.m_waiting.clear();
    m_now += span;
}

void FleetSimulation::arrive(bool isFatal)
{
    Request request;
    request.m_isFatal = isFatal;
    request.m_gateway = m_random() % m_gateways.size();
    request.m_arrivedAt = m_now;
    std::vector<std::string> ids = {"first"};
    // A few topics are asked for much more often than the others.
    const std::size_t topic = m_random() % (1 + m_random() % m_options.m_topics);
    if (!isFatal || m_options.m_sharesFatalTopic)
        ids.push_back("topic" + std::to_string(topic));
    if (isFatal)
        ids.emplace_back("fatal");
    request.m_parts = makePromptParts(service, ids);
    Gateway &gateway = m_gateways[request.m_gateway];
    gateway.m_guard->recordArrival(service, request.m_parts);
    gateway.m_waiting.push_back(request);
}

void FleetSimulation::dispatch(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    for (auto request = gateway.m_waiting.begin(); request != gateway.m_waiting.end();) {
        const bool isRefused =
            m_options.m_usesQuarantine
            && gateway.m_guard->judge(request->m_parts, m_now) == PromptVerdict::Refuse;
        if (isRefused && !request->m_isFatal)
            ++m_soundQuarantined;
        if (isRefused || m_now - request->m_arrivedAt > patience
            || (isOpen() && trySend(gateway, *request)))
            request = gateway.m_waiting.erase(request);
        else
            ++request;
    }
}

bool FleetSimulation::trySend(Gateway &gateway, const Request &request)
{
    const bool isIsolated =
        m_options.m_usesQuarantine
        && gateway.m_guard->judge(request.m_parts, m_now) == PromptVerdict::Isolate;
    const std::size_t offset = m_random() % m_endpoints.size();
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        const std::size_t number = (index + offset) % m_endpoints.size();
        Endpoint &endpoint = m_endpoints[number];
        const bool hasIsolated = std::any_of(
            endpoint.m_running.begin(), endpoint.m_running.end(), [&](const Request &other) {
                return other.m_gateway == request.m_gateway && other.m_isIsolated;
            });
        if (endpoint.m_running.size() >= slots
            || (isIsolated
                && (hasIsolated
                    || !isIsolationEndpoint(number, m_endpoints.size(), request.m_gateway,
                                            m_gateways.size()))))
            continue;
        if (m_now < endpoint.m_upAt) {
            gateway.m_guard->recordGone(endpoint.m_run, m_now);
            continue;
        }
        Request sent = request;
        sent.m_isIsolated = isIsolated;
        sent.m_firstEventAt = m_now + Milliseconds(100 + m_random() % 200);
        sent.m_endsAt = sent.m_firstEventAt + answerTime;
        endpoint.m_running.push_back(sent);
        gateway.m_guard->onSent(request.m_parts, m_now);
        if (request.m_isFatal) {
            ++m_fatalArrivals;
            const bool isLate = m_fatalCrashes.size() >= countedCrashes
                                && m_now > m_fatalCrashes[countedCrashes - 1] + learningTime;
            m_lateFatalArrivals += isLate && isInTouch(gateway) ? 1 : 0;
        }
        return true;
    }
    return false;
}

bool FleetSimulation::isInTouch(const Gateway &gateway) const
{
    return m_now > gateway.m_startedAt + learningTime && m_now > gateway.m_cutUntil + learningTime;
}

void FleetSimulation::advance(Endpoint &endpoint)
{
    if (!isOpen() || m_groupFailsAt || m_now < endpoint.m_upAt)
        return;
    for (auto request = endpoint.m_running.begin(); request != endpoint.m_running.end();) {
        if (m_now < request->m_firstEventAt) {
            ++request;
            continue;
        }
        if (request->m_isFatal && m_isFatal) {
            m_fatalCrashes.push_back(m_now);
            crash(endpoint);
            return;
        }
        PromptGuard &guard = *m_gateways[request->m_gateway].m_guard;
        if ((m_now - request->m_firstEventAt) % eventInterval < step)
            guard.recordProgress(service, m_now);
        if (!request->m_isSound && m_now >= request->m_firstEventAt + soundTime) {
            request->m_isSound = true;
            if (m_options.m_usesSoundParts)
                guard.recordSound(request->m_parts, m_now);
        }
        if (m_now < request->m_endsAt) {
            ++request;
            continue;
        }
        m_soundServed += request->m_isFatal ? 0 : 1;
        request = endpoint.m_running.erase(request);
    }
}

void FleetSimulation::breakRequests(Endpoint &endpoint)
{
    for (const Request &request : endpoint.m_running) {
        m_gateways[request.m_gateway].m_guard->recordBroken(
            endpoint.m_run, service, request.m_isSound ? PromptParts() : request.m_parts, m_now);
    }
    endpoint.m_running.clear();
}

void FleetSimulation::crash(Endpoint &endpoint)
{
    breakRequests(endpoint);
    if (m_options.m_isGroup && !m_groupFailsAt) {
        m_groupFailsAt = m_now + stallTime;
        m_groupOpensAt = m_now + restartTime + groupFormTime;
        m_failedRank = endpoint.m_run;
    }
    endpoint.m_upAt = m_now + restartTime;
    // The gateways that have other requests for it can't connect any more.
    for (Gateway &gateway : m_gateways) {
        if (!gateway.m_waiting.empty())
            gateway.m_guard->recordGone(endpoint.m_run, m_now);
    }
    if (!m_options.m_isGroup) {
        for (Gateway &gateway : m_gateways)
            gateway.m_guard->recordGone(endpoint.m_run, m_now);
    }
    ++endpoint.m_run.m_startedAt;
}

// The other ranks cut their streams and refuse what they haven't begun, naming the failed rank.
void FleetSimulation::failGroup()
{
    m_groupFailsAt.reset();
    for (Endpoint &endpoint : m_endpoints) {
        std::set<std::size_t> callers;
        for (const Request &request : endpoint.m_running)
            callers.insert(request.m_gateway);
        breakRequests(endpoint);
        for (const std::size_t caller : callers) {
            m_gateways[caller].m_guard->recordAlive(endpoint.m_run.m_name, m_now);
            m_gateways[caller].m_guard->recordGone(m_failedRank, m_now);
        }
    }
}

void FleetSimulation::crashEndpoints(std::size_t first, std::size_t count)
{
    for (std::size_t index = first; index < first + count; ++index)
        crash(m_endpoints[index % m_endpoints.size()]);
}

void FleetSimulation::restartGateway(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    for (Endpoint &endpoint : m_endpoints)
        endpoint.m_running.remove_if(
            [&](const Request &request) { return request.m_gateway == number; });
    gateway.m_guard = std::make_unique<PromptGuard>(ProcessName("g" + std::to_string(number)));
    gateway.m_guard->setPosition(number, m_gateways.size());
    gateway.m_waiting.clear();
    gateway.m_startedAt = m_now;
    gateway.m_nextHeartbeatAt = m_now + Milliseconds(m_random() % heartbeatInterval.count());
    gateway.m_nextRefreshAt = m_now + Milliseconds(m_random() % refreshInterval.count());
}

void FleetSimulation::cutGateway(std::size_t number, Milliseconds span)
{
    m_gateways[number].m_cutUntil = m_now + span;
}

void FleetSimulation::gossip(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    if (m_now >= gateway.m_nextRefreshAt) {
        gateway.m_nextRefreshAt += refreshInterval;
        gateway.m_guard->refresh(m_now);
        gateway.m_guard->takeEvents();
        if (gateway.m_guard->hasNews()) {
            const QuarantineMessage news = gateway.m_guard->newsToSend(m_now);
            for (std::size_t to = 0; to < std::min<std::size_t>(m_gateways.size(), 32); ++to)
                send(news, number, to);
        }
    }
    if (m_now < gateway.m_nextHeartbeatAt)
        return;
    gateway.m_nextHeartbeatAt += heartbeatInterval;
    const QuarantineMessage message = gateway.m_guard->messageToSend(m_now);
    for (std::size_t target = 0; target < fanout; ++target)
        send(message, number, m_random() % m_gateways.size());
}

void FleetSimulation::send(const QuarantineMessage &message, std::size_t from, std::size_t to)
{
    if (from == to || !m_options.m_usesGossip || message.isEmpty()
        || m_now < m_gateways[from].m_cutUntil || m_now < m_gateways[to].m_cutUntil
        || chance(m_options.m_gossipLoss))
        return;
    const auto received = readQuarantineMessage(writeQuarantineMessage(message, m_now), m_now);
    m_gateways[to].m_guard->receive(received.value(), m_now);
}

} // namespace burdockhead::test
