#include <burdockhead/gateway/callrouter.h>
#include <burdockhead/gateway/proxiedcall.h>

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

// Concurrent requests per slot of a plain service, over all gateways. Above 1, since no gateway
// knows exactly what the others have sent; endpoints queue the few above their slots.
constexpr double requestsPerSlot = 1.25;
// The same for engines, which run no more than their slots and whose steps grow longer with each
// request.
constexpr double requestsPerEngineSlot = 1.0;
// The same while steps are slow, so that they become shorter: at about this many requests a step
// with badly balanced experts still ends within the longest event interval.
constexpr double requestsPerSlowSlot = 0.4;
// Smallest concurrency limit of a gateway, so that it can reach a few endpoints shared by many
// gateways.
constexpr std::size_t minShare = 3;
// Bytes of responses that are buffered for all requests together: a small part of a VM's memory.
constexpr std::size_t maxBufferedBytes = 33554432;
// Queued calls that are passed over in one go because they must be sent apart from others.
constexpr std::size_t maxPostponedCalls = 32;
// Delay until dispatch is retried for queued calls that no endpoint accepted.
constexpr Milliseconds dispatchRetryDelay{25};
// Requests per second; a slower pace counts as this in the time that a request waits.
constexpr double slowestPace = 0.01;

} // namespace

CallRouter::CallRouter(const GatewayDependencies &dependencies, Random seed)
    : m_dependencies(dependencies)
    , m_random(seed)
    , m_paces(dependencies.m_endpoints, dependencies.m_rates, dependencies.m_loads,
              dependencies.m_peers)
    , m_responseBuffers(maxBufferedBytes)
{}

CallRouter::~CallRouter() = default;

void CallRouter::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const CallId id = ++m_lastId;
    const auto call = std::make_shared<ProxiedCall>(*this, exchange, id);
    m_calls.emplace(id, call);
    call->watchClient();
    if (m_isOpen)
        call->start();
    else
        m_keptCalls.push_back(id);
}

void CallRouter::open()
{
    m_isOpen = true;
    for (const CallId id : std::exchange(m_keptCalls, {})) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            continue; // The client has left.
        const auto call = found->second;
        call->start();
    }
}

void CallRouter::setConfiguration(const GatewayConfigurationPointer &configuration)
{
    m_configuration = configuration;
    refresh();
}

void CallRouter::endAll()
{
    m_refusesNew = true;
    std::vector<std::shared_ptr<ProxiedCall>> calls;
    for (const auto &[id, call] : m_calls)
        calls.push_back(call);
    for (const auto &call : calls)
        call->endForStop();
}

ServiceLimiter &CallRouter::limiter(const GroupName &service)
{
    const auto found = m_limiters.find(service);
    if (found != m_limiters.end())
        return found->second;
    ServiceLimiter &serviceLimiter =
        m_limiters.emplace(service, ServiceLimiter(retryBudgetOptions())).first->second;
    updateCapacity(service, serviceLimiter);
    return serviceLimiter;
}

ServiceRetryBudgetOptions CallRouter::retryBudgetOptions() const
{
    const GatewayBounds &bounds = m_dependencies.m_bounds;
    return {bounds.m_retryRatio, bounds.m_retryBurst, bounds.m_retryWindow};
}

double CallRouter::burstShare(TimePoint now) const
{
    return m_dependencies.m_peers.shareOfLimit(m_dependencies.m_bounds.m_retryWindow, now);
}

void CallRouter::updateCapacity(const GroupName &service, ServiceLimiter &serviceLimiter)
{
    const TimePoint now = Clock::now();
    const std::size_t gateways =
        std::max<std::size_t>(m_dependencies.m_peers.readyClients(now).size(), 1);
    const LoadElsewhere elsewhere = m_dependencies.m_loads.elsewhere(service, now);
    const double slots =
        m_dependencies.m_endpoints.usableSlots(service, serviceLimiter.averageServiceTime(), now);
    const GatewayService *declared =
        m_configuration ? m_configuration->findService(service) : nullptr;
    const bool isEngine = declared != nullptr && declared->m_batchSize > 0;
    ServiceCapacity capacity;
    capacity.m_requests = slots * (isEngine ? requestsPerEngineSlot : requestsPerSlot);
    capacity.m_slowRequests = isEngine ? slots * requestsPerSlowSlot : capacity.m_requests;
    capacity.m_gateways = gateways;
    capacity.m_requestsElsewhere = static_cast<double>(elsewhere.m_requests);
    capacity.m_unknownGateways =
        gateways > elsewhere.m_gateways + 1 ? gateways - elsewhere.m_gateways - 1 : 0;
    capacity.m_minShare = minShare;
    serviceLimiter.setCapacity(capacity);
    serviceLimiter.retryBudget().setOptions(retryBudgetOptions());
}

std::vector<ServiceLoad> CallRouter::load()
{
    std::vector<ServiceLoad> services;
    for (auto &[service, serviceLimiter] : m_limiters) {
        const std::size_t arrivals = serviceLimiter.recentArrivals(Clock::now());
        if (serviceLimiter.requests() > 0 || arrivals > 0)
            services.push_back({service, serviceLimiter.requests(), arrivals});
    }
    return services;
}

bool CallRouter::hasSpareEndpoint(const GroupName &service, TimePoint now) const
{
    constexpr std::size_t minEndpoints = 2;
    return m_dependencies.m_endpoints.count(service, now, [&](const KnownEndpoint &endpoint) {
        return endpoint.m_breaker.allows(now)
               && !m_dependencies.m_promptGuard.evidence().hasCrashed(
                   {endpoint.m_registration.m_name, endpoint.m_registration.m_startedAt});
    }) >= minEndpoints;
}

std::size_t CallRouter::maxPerSecond(const GroupName &service) const
{
    const GatewayService *declared =
        m_configuration ? m_configuration->findService(service) : nullptr;
    if (declared == nullptr || declared->m_coldRequestsPerSecond <= 0)
        return 0;
    const auto gateways = static_cast<double>(m_dependencies.m_peers.gatewayCount(Clock::now()));
    const double share =
        declared->m_coldRequestsPerSecond * m_dependencies.m_bounds.m_coldBurst / gateways;
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

// Engines are divided among the gateways; plain services have few endpoints and short requests.
std::optional<GatewayPosition> CallRouter::position(const GroupName &service) const
{
    const GatewayService *declared =
        m_configuration ? m_configuration->findService(service) : nullptr;
    if (declared == nullptr || declared->m_batchSize == 0)
        return std::nullopt;
    return m_position;
}

void CallRouter::refresh()
{
    m_position = m_dependencies.m_peers.localPosition(Clock::now());
    m_paces.update(Clock::now());
    for (auto &[service, serviceLimiter] : m_limiters) {
        updateCapacity(service, serviceLimiter);
        dispatchQueued(service);
    }
}

void CallRouter::setSlowness(std::map<SocketAddress, double> factors)
{
    const bool isAnySlow = !factors.empty();
    m_dependencies.m_endpoints.setSlowness(std::move(factors));
    if (!isAnySlow)
        return;
    std::vector<std::shared_ptr<ProxiedCall>> calls;
    for (const auto &[id, call] : m_calls)
        calls.push_back(call);
    for (const auto &call : calls)
        call->moveFromSlowEndpoint();
}

void CallRouter::recordRate(const RateStatement &statement)
{
    if (m_dependencies.m_rates.record(statement, RateSource::Response) != RateChange::None)
        m_paces.update(Clock::now());
}

Duration CallRouter::pacedWait(const GroupName &service, TimePoint now)
{
    const auto pace = m_dependencies.m_endpoints.paceOf(service, now);
    if (!pace)
        return Duration(0);
    // A place is due at a random time within one interval.
    const double places = static_cast<double>(limiter(service).queue().size()) + 0.5;
    const std::chrono::duration<double> wait(places / std::max(*pace, slowestPace));
    return std::chrono::duration_cast<Duration>(wait);
}

void CallRouter::enqueue(const GroupName &service, const QueuedCall &queuedCall)
{
    limiter(service).queue().push(queuedCall);
    scheduleDispatch(service);
}

// Retries dispatch soon, since rate limits, breakers and pauses expire with time.
void CallRouter::scheduleDispatch(const GroupName &service)
{
    TimerId &timer = m_dispatchTimers[service];
    if (timer != 0)
        return;
    timer = m_dependencies.m_loop.callAt(Clock::now() + dispatchRetryDelay, [this, service] {
        m_dispatchTimers[service] = 0;
        dispatchQueued(service);
    });
}

void CallRouter::dispatchQueued(const GroupName &service)
{
    ServiceLimiter &serviceLimiter = this->limiter(service);
    const TimePoint now = Clock::now();
    std::vector<QueuedCall> postponed;
    std::vector<std::shared_ptr<ProxiedCall>> quarantined;
    while (serviceLimiter.queue().size() > 0 && serviceLimiter.mayStart(now)
           && postponed.size() < maxPostponedCalls) {
        const auto queuedCall = serviceLimiter.queue().pop(now);
        const auto found = m_calls.find(queuedCall->m_id);
        if (found == m_calls.end())
            continue;
        const auto call = found->second;
        if (call->isQuarantined()) {
            quarantined.push_back(call);
            continue;
        }
        if (call->dispatch())
            continue;
        postponed.push_back(*queuedCall);
        if (!call->isIsolated())
            break;
    }
    for (const QueuedCall &queuedCall : postponed)
        serviceLimiter.queue().push(queuedCall);
    if (serviceLimiter.queue().size() > 0)
        scheduleDispatch(service);
    for (const auto &call : quarantined)
        call->refuseQuarantined();
}

bool CallRouter::giveUpLongestResponse(std::size_t bytes)
{
    std::shared_ptr<ProxiedCall> longest;
    for (const auto &[id, call] : m_calls) {
        if (call->bufferedBytes() > bytes) {
            longest = call;
            bytes = call->bufferedBytes();
        }
    }
    if (longest)
        longest->giveUpResponse();
    return longest != nullptr;
}

void CallRouter::remove(CallId id)
{
    m_calls.erase(id);
}

} // namespace burdockhead
