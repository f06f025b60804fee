#include "retrysimulation.h"

#include <algorithm>
#include <cmath>

namespace burdockhead::test {

namespace {

constexpr Milliseconds step{10};
constexpr Milliseconds heartbeatInterval{400};
// After the last failure, so that retries which wait still arrive.
constexpr Seconds timeAfterFailures{12};
constexpr std::size_t seedGateways = 3;

std::size_t countBetween(const std::vector<TimePoint> &times, TimePoint from, TimePoint until)
{
    return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), until)
                                    - std::lower_bound(times.begin(), times.end(), from));
}

SocketAddress addressOf(std::size_t number)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(10000 + number)};
}

} // namespace

RetrySimulation::RetrySimulation(const RetryScenario &scenario, MakeLimit makeLimit,
                                 std::uint64_t seed)
    : m_scenario(scenario)
    , m_makeLimit(std::move(makeLimit))
    , m_random(seed)
    , m_isStarted(scenario.m_starts.size())
    , m_isBroken(scenario.m_brokenStreams.size())
{
    std::size_t count = scenario.m_gateways;
    for (const GatewayStart &gatewayStart : scenario.m_starts)
        count = std::max(count, gatewayStart.m_gateway + 1);
    m_gateways.resize(count);
    for (std::size_t number = 0; number < scenario.m_gateways; ++number)
        start(number);
}

PeerRecord RetrySimulation::recordOf(std::size_t number) const
{
    PeerRecord record;
    record.m_name = ProcessName("g" + std::to_string(number));
    record.m_incarnation = m_gateways[number].m_incarnation;
    record.m_state = PeerState::Ready;
    record.m_clientAddress = addressOf(number);
    record.m_gossipAddress = addressOf(number);
    return record;
}

void RetrySimulation::start(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    ++gateway.m_incarnation;
    std::vector<SocketAddress> seeds;
    for (std::size_t seed = 0; seed < std::min(seedGateways, m_scenario.m_gateways); ++seed)
        seeds.push_back(addressOf(seed));
    gateway.m_peers = std::make_unique<PeerTable>(recordOf(number), seeds, Random(m_random()));
    gateway.m_limit = m_makeLimit();
    gateway.m_nextHeartbeatAt = m_now;
    gateway.m_waiting.clear();
    gateway.m_unreadRequests = 0;
}

bool RetrySimulation::isRunning(std::size_t number) const
{
    return m_gateways[number].m_limit != nullptr
           && std::none_of(m_scenario.m_freezes.begin(), m_scenario.m_freezes.end(),
                           [&](const GatewayFreeze &freeze) {
                               return freeze.m_gateway == number && freeze.m_span.contains(m_now);
                           });
}

bool RetrySimulation::isClosed() const
{
    return std::any_of(m_scenario.m_closures.begin(), m_scenario.m_closures.end(),
                       [&](const TimeSpan &closure) { return closure.contains(m_now); });
}

bool RetrySimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

Duration RetrySimulation::randomDuration(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

void RetrySimulation::run()
{
    const TimePoint end = m_scenario.m_failing.m_until + timeAfterFailures;
    for (; m_now < end; m_now += step) {
        startGateways();
        breakStreams();
        while (!m_events.empty() && m_events.top().m_at <= m_now) {
            const Event event = m_events.top();
            m_events.pop();
            handle(event);
        }
        sendRequests();
        for (std::size_t number = 0; number < m_gateways.size(); ++number) {
            if (isRunning(number))
                advanceGateway(number);
        }
    }
    std::sort(m_requestTimes.begin(), m_requestTimes.end());
    std::sort(m_retryArrivals.begin(), m_retryArrivals.end());
}

void RetrySimulation::startGateways()
{
    for (std::size_t index = 0; index < m_scenario.m_starts.size(); ++index) {
        const GatewayStart &gatewayStart = m_scenario.m_starts[index];
        if (m_isStarted[index])
            continue;
        if (m_now >= gatewayStart.m_startedAt) {
            m_isStarted[index] = true;
            start(gatewayStart.m_gateway);
        } else if (m_now >= gatewayStart.m_killedAt) {
            m_gateways[gatewayStart.m_gateway].m_limit.reset();
        }
    }
}

void RetrySimulation::breakStreams()
{
    for (std::size_t index = 0; index < m_scenario.m_brokenStreams.size(); ++index) {
        const BrokenStreams &streams = m_scenario.m_brokenStreams[index];
        if (m_isBroken[index] || m_now < streams.m_at)
            continue;
        m_isBroken[index] = true;
        for (std::size_t stream = 0; stream < streams.m_count; ++stream) {
            const std::size_t number = m_random() % m_gateways.size();
            if (isRunning(number))
                retry(number);
        }
    }
}

void RetrySimulation::retry(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    if (gateway.m_limit->tryBegin(*gateway.m_peers, m_now))
        gateway.m_waiting.push_back(true);
    else
        ++m_retriesRefused;
}

void RetrySimulation::sendRequests()
{
    double perStep = m_scenario.m_requestsPerSecond * std::chrono::duration<double>(step).count();
    for (const LoadChange &change : m_scenario.m_loadChanges)
        perStep *= change.m_span.contains(m_now) ? change.m_factor : 1;
    for (double left = perStep; left > 0; left -= 1) {
        if (!chance(std::min(left, 1.0)))
            continue;
        m_requestTimes.push_back(m_now);
        const std::size_t number = m_random() % m_gateways.size();
        ++m_gateways[number].m_unreadRequests;
    }
}

void RetrySimulation::advanceGateway(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    if (m_now >= gateway.m_nextHeartbeatAt)
        sendHeartbeat(number);
    for (; gateway.m_unreadRequests > 0; --gateway.m_unreadRequests) {
        gateway.m_limit->recordRequest(m_now);
        gateway.m_waiting.push_back(false);
    }
    if (isClosed())
        return;
    for (const bool isRetry : std::exchange(gateway.m_waiting, {}))
        send(number, isRetry);
}

void RetrySimulation::sendHeartbeat(std::size_t number)
{
    Gateway &gateway = m_gateways[number];
    gateway.m_nextHeartbeatAt = m_now + heartbeatInterval;
    for (const SocketAddress &target : gateway.m_peers->beginHeartbeat(m_now)) {
        const std::size_t receiver = target.m_port - addressOf(0).m_port;
        if (receiver < m_gateways.size() && isRunning(receiver) && !chance(m_scenario.m_gossipLoss))
            m_gateways[receiver].m_peers->receive(gateway.m_peers->recordsToSend(m_now), m_now);
    }
}

void RetrySimulation::send(std::size_t number, bool isRetry)
{
    m_events.push({m_now + randomDuration(m_scenario.m_maxTravelTime), EventType::Arrival, number,
                   m_gateways[number].m_incarnation, isRetry});
}

void RetrySimulation::handle(const Event &event)
{
    if (event.m_type == EventType::Arrival) {
        if (event.m_isRetry)
            m_retryArrivals.push_back(event.m_at);
        Event response = event;
        response.m_type = EventType::Response;
        response.m_at = event.m_at + randomDuration(m_scenario.m_maxResponseTime);
        m_events.push(response);
        return;
    }
    Gateway &gateway = m_gateways[event.m_gateway];
    if (gateway.m_limit == nullptr || gateway.m_incarnation != event.m_incarnation)
        return;
    if (!isRunning(event.m_gateway)) {
        Event delayed = event; // Read when the gateway runs again.
        delayed.m_at = m_now + step;
        m_events.push(delayed);
        return;
    }
    if (event.m_isRetry)
        gateway.m_limit->end(m_now);
    if (m_scenario.m_failing.contains(m_now) && chance(m_scenario.m_failureRate))
        retry(event.m_gateway);
}

std::optional<BudgetWindow> RetrySimulation::findBrokenWindow() const
{
    const Milliseconds window = m_scenario.m_budget.m_window;
    // What is allowed changes with the start of a window at each request only.
    std::vector<TimePoint> starts = m_retryArrivals;
    for (const TimePoint time : m_requestTimes) {
        for (const Milliseconds earlier : {Milliseconds(0), window / 2, window})
            starts.insert(starts.end(), {time - earlier, time - earlier + Duration(1)});
    }
    for (const TimePoint begin : starts) {
        const std::size_t retries = countBetween(m_retryArrivals, begin, begin + window);
        std::size_t requests = 0;
        for (const Milliseconds earlier : {Milliseconds(0), window / 2, window})
            requests = std::max(
                requests, countBetween(m_requestTimes, begin - earlier, begin - earlier + window));
        const double allowed = m_scenario.m_budget.m_ratio * static_cast<double>(requests)
                               + m_scenario.m_budget.m_burst;
        if (static_cast<double>(retries) > allowed + 1e-9)
            return BudgetWindow{begin, retries, allowed};
    }
    return std::nullopt;
}

} // namespace burdockhead::test
