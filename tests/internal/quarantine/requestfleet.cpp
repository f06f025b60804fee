#include "requestfleet.h"

#include <burdockhead/quarantine/requestfingerprint.h>

#include <algorithm>
#include <set>

namespace burdockhead::test {

namespace {

const GroupName service("app");
constexpr Milliseconds step{10};
constexpr std::size_t slots = 6;
constexpr unsigned maxAttempts = 2;
constexpr Milliseconds patience{1200};
constexpr Milliseconds shortestRun{20};
constexpr Milliseconds fatalRun{50};
constexpr Milliseconds shortestRestart{500};
constexpr Milliseconds longestRestart{4000};
constexpr Milliseconds heartbeatInterval{400};
constexpr Milliseconds refreshInterval{250};
constexpr std::size_t fanout = 4;
constexpr std::size_t directTargets = 32;
constexpr std::size_t countedCrashes = 3;
constexpr Milliseconds learningTime{3000};

PromptParts fingerprints(const std::string &target)
{
    return requestFingerprints({WorkspaceName("w"), "GET", "h.example", target, "", ""});
}

// A request with the fatal one's content and this prompt.
RequestIdentity fatalIdentity(std::string_view prompt)
{
    return {WorkspaceName("w"), "POST", "h.example", "/fatal", prompt, "fatal"};
}

} // namespace

RequestFleet::RequestFleet(const RequestFleetOptions &options, std::uint64_t seed)
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

bool RequestFleet::chance(double perStep)
{
    constexpr std::uint64_t resolution = 1000000;
    return m_random() % resolution < static_cast<std::uint64_t>(perStep * resolution);
}

void RequestFleet::run(Milliseconds span)
{
    const double stepSeconds = std::chrono::duration<double>(step).count();
    for (const TimePoint end = m_now + span; m_now < end; m_now += step) {
        if (chance(m_options.m_soundPerSecond * stepSeconds))
            arrive(false);
        if (chance(m_options.m_fatalPerSecond * stepSeconds))
            arrive(true);
        if (m_options.m_sharedPerSecond > 0 && chance(m_options.m_sharedPerSecond * stepSeconds))
            arriveShared();
        if (chance(m_options.m_crashesPerSecond * stepSeconds)) {
            const std::size_t first = m_random() % m_endpoints.size();
            const std::size_t count = 1 + m_random() % m_options.m_largestCrash;
            for (std::size_t index = first; index < first + count; ++index)
                crash(m_endpoints[index % m_endpoints.size()]);
        }
        for (Endpoint &endpoint : m_endpoints)
            advance(endpoint);
        m_wasServiceDown |= std::all_of(m_endpoints.begin(), m_endpoints.end(),
                                        [](const Endpoint &endpoint) { return endpoint.m_isDown; });
        for (std::size_t number = 0; number < m_gateways.size(); ++number) {
            gossip(number);
            dispatch(number);
        }
    }
}

void RequestFleet::arrive(bool isFatal)
{
    constexpr std::uint64_t resolution = 1000;
    Request request;
    request.m_isFatal = isFatal;
    const bool isPopular =
        m_random() % resolution < static_cast<std::uint64_t>(m_options.m_popularShare * resolution);
    request.m_fingerprints = isFatal     ? fatalHead()
                             : isPopular ? fingerprints("/popular")
                                         : fingerprints("/" + std::to_string(++m_lastRequest));
    m_soundArrivals += isFatal ? 0 : 1;
    add(std::move(request));
}

PromptParts RequestFleet::fatalHead()
{
    const std::string prompt =
        m_options.m_hasNewHeads ? "fatal:" + std::to_string(++m_lastRequest) : "fatal";
    PromptParts parts = requestFingerprints(fatalIdentity(prompt));
    m_fatalFingerprints.insert(parts.begin(), parts.end());
    return parts;
}

void RequestFleet::arriveShared()
{
    Request request;
    request.m_isShared = true;
    request.m_fingerprints =
        requestFingerprints(fatalIdentity("sound:" + std::to_string(++m_lastRequest)));
    ++m_sharedArrivals;
    add(std::move(request));
}

void RequestFleet::add(Request request)
{
    request.m_gateway = m_random() % m_gateways.size();
    request.m_arrivedAt = m_now;
    m_gateways[request.m_gateway].m_waiting.push_back(std::move(request));
}

void RequestFleet::dispatch(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    for (auto request = gateway.m_waiting.begin(); request != gateway.m_waiting.end();) {
        const bool isRefused =
            m_options.m_usesGuard
            && gateway.m_guard->judge(request->m_fingerprints, m_now) == PromptVerdict::Refuse;
        m_sharedRefused += isRefused && request->m_isShared ? 1 : 0;
        if (isRefused || m_now - request->m_arrivedAt > patience || trySend(gateway, *request))
            request = gateway.m_waiting.erase(request);
        else
            ++request;
    }
}

bool RequestFleet::trySend(Gateway &gateway, Request &request)
{
    PromptGuard &guard = *gateway.m_guard;
    const PromptVerdict verdict =
        m_options.m_usesGuard ? guard.judge(request.m_fingerprints, m_now) : PromptVerdict::Admit;
    if (verdict == PromptVerdict::Wait)
        return false;
    const auto known = [&](const Endpoint &endpoint) {
        return !guard.evidence().hasCrashed(endpoint.m_run);
    };
    if (m_options.m_usesGuard && guard.needsSpareEndpoint(request.m_fingerprints, m_now)
        && std::count_if(m_endpoints.begin(), m_endpoints.end(), known) < 2)
        return false;
    const std::size_t offset = m_random() % m_endpoints.size();
    for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
        Endpoint &endpoint = m_endpoints[(index + offset) % m_endpoints.size()];
        const bool meetsIsolated =
            verdict == PromptVerdict::Isolate
            && std::any_of(endpoint.m_running.begin(), endpoint.m_running.end(),
                           [&](const Request &other) {
                               return other.m_isIsolated && other.m_gateway == request.m_gateway;
                           });
        if (endpoint.m_isDown || endpoint.m_running.size() >= slots || meetsIsolated)
            continue;
        request.m_isIsolated = verdict == PromptVerdict::Isolate;
        request.m_sentAt = m_now;
        const auto longest = static_cast<std::uint64_t>(m_options.m_longestRun.count());
        const auto shortest = static_cast<std::uint64_t>(shortestRun.count());
        request.m_endsAt =
            m_now
            + (request.m_isFatal ? fatalRun
                                 : Milliseconds(shortest + m_random() % (longest - shortest + 1)));
        ++request.m_attempts;
        guard.beginAttempt(request.m_fingerprints);
        endpoint.m_running.push_back(request);
        const bool isInTouch =
            m_now > gateway.m_startedAt + learningTime && m_now > gateway.m_cutUntil + learningTime;
        if (request.m_isFatal && isInTouch && m_fatalCrashes.size() >= countedCrashes
            && m_now > m_fatalCrashes[countedCrashes - 1] + learningTime)
            ++m_lateFatalArrivals;
        return true;
    }
    return false;
}

void RequestFleet::advance(Endpoint &endpoint)
{
    if (endpoint.m_isDown && m_now >= endpoint.m_upAt) {
        endpoint.m_isDown = false;
        ++endpoint.m_run.m_startedAt;
    }
    for (auto request = endpoint.m_running.begin(); request != endpoint.m_running.end();) {
        if (m_now < request->m_endsAt) {
            ++request;
            continue;
        }
        if (request->m_isFatal) {
            m_fatalCrashes.push_back(m_now);
            crash(endpoint);
            return;
        }
        PromptGuard &guard = *m_gateways[request->m_gateway].m_guard;
        guard.endAttempt(request->m_fingerprints);
        guard.recordSound(request->m_fingerprints, m_now);
        m_soundServed += request->m_isShared ? 0 : 1;
        request = endpoint.m_running.erase(request);
    }
}

// Whoever has a request there finds out at once that the endpoint is gone.
void RequestFleet::crash(Endpoint &endpoint)
{
    if (endpoint.m_isDown)
        return;
    endpoint.m_isDown = true;
    const auto span = static_cast<std::uint64_t>((longestRestart - shortestRestart).count());
    endpoint.m_upAt = m_now + shortestRestart + Milliseconds(m_random() % span);
    const std::list<Request> broken = std::move(endpoint.m_running);
    endpoint.m_running.clear();
    std::set<std::size_t> callers;
    for (const Request &request : broken) {
        PromptGuard &guard = *m_gateways[request.m_gateway].m_guard;
        guard.endAttempt(request.m_fingerprints);
        const TimePoint sentAt =
            m_options.m_countsEachCrash ? m_now + Milliseconds(1) : request.m_sentAt;
        guard.recordBroken(endpoint.m_run, service, {}, m_now,
                           BrokenRequest{request.m_fingerprints, sentAt});
        callers.insert(request.m_gateway);
    }
    for (const std::size_t caller : callers) {
        m_gateways[caller].m_guard->recordGone(endpoint.m_run, m_now);
        tell(caller);
    }
    for (const Request &request : broken) {
        if (request.m_attempts < maxAttempts)
            m_gateways[request.m_gateway].m_waiting.push_back(request);
    }
}

void RequestFleet::restartGateway(std::size_t number)
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

void RequestFleet::cutGateway(std::size_t number, Milliseconds span)
{
    m_gateways[number].m_cutUntil = m_now + span;
}

void RequestFleet::tell(std::size_t number)
{
    PromptGuard &guard = *m_gateways[number].m_guard;
    guard.takeEvents();
    if (!guard.hasNews())
        return;
    const QuarantineMessage news = guard.newsToSend(m_now);
    for (std::size_t to = 0; to < std::min(m_gateways.size(), directTargets); ++to)
        send(news, number, to);
}

void RequestFleet::gossip(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    if (m_now >= gateway.m_nextRefreshAt) {
        gateway.m_nextRefreshAt += refreshInterval;
        gateway.m_guard->refresh(m_now);
        tell(number);
    }
    if (m_now < gateway.m_nextHeartbeatAt)
        return;
    gateway.m_nextHeartbeatAt += heartbeatInterval;
    const QuarantineMessage message = gateway.m_guard->messageToSend(m_now);
    for (std::size_t target = 0; target < fanout; ++target)
        send(message, number, m_random() % m_gateways.size());
}

void RequestFleet::send(const QuarantineMessage &message, std::size_t from, std::size_t to)
{
    if (from == to || !m_options.m_usesGossip || message.isEmpty()
        || m_now < m_gateways[from].m_cutUntil || m_now < m_gateways[to].m_cutUntil
        || chance(m_options.m_gossipLoss))
        return;
    const auto received = readQuarantineMessage(writeQuarantineMessage(message, m_now), m_now);
    m_gateways[to].m_guard->receive(received.value(), m_now);
}

std::size_t RequestFleet::soundQuarantined() const
{
    std::set<PromptPart> parts;
    for (const Gateway &gateway : m_gateways) {
        for (const auto &[part, entry] : gateway.m_guard->quarantines().entries())
            parts.insert(part);
    }
    for (const PromptPart &part : m_fatalFingerprints)
        parts.erase(part);
    return parts.size();
}

std::size_t RequestFleet::gatewaysThatQuarantine() const
{
    return static_cast<std::size_t>(
        std::count_if(m_gateways.begin(), m_gateways.end(), [&](const Gateway &gateway) {
            return std::any_of(m_fatalFingerprints.begin(), m_fatalFingerprints.end(),
                               [&](const PromptPart &part) {
                                   return gateway.m_guard->quarantines().findActive(part)
                                          != nullptr;
                               });
        }));
}

} // namespace burdockhead::test
