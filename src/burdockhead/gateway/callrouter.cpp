#include <burdockhead/gateway/callrouter.h>
#include <burdockhead/gateway/proxiedcall.h>

#include <algorithm>
#include <cmath>

namespace burdockhead {

namespace {

// Requests at a plain service for each of its slots, over the whole fleet. Above 1, since no
// gateway knows exactly what the others have sent; endpoints queue the few beyond.
constexpr double requestsForSlot = 1.25;
// The same for engines, which run no more than their slots and take longer steps for each.
constexpr double requestsForEngineSlot = 1.0;
// The same while steps are slow, so that they become shorter again: at about this many requests
// a step with badly spread experts still ends within the longest pause.
constexpr double requestsForSlowSlot = 0.4;
// A gateway's smallest window, so that a few endpoints shared by many gateways are reached.
constexpr std::size_t smallestWindow = 3;
// When the next look is taken for a request that no endpoint would take.
constexpr Milliseconds retryPause{25};

} // namespace

CallRouter::CallRouter(const GatewayDependencies &parts, Random seed)
    : m_dependencies(parts)
    , m_random(seed)
{}

CallRouter::~CallRouter() = default;

void CallRouter::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const QueuedCallId id = ++m_lastId;
    const auto flow = std::make_shared<ProxiedCall>(*this, exchange, id);
    m_calls.emplace(id, flow);
    flow->start();
}

bool CallRouter::applyConfiguration(const GatewayConfigurationPointer &configuration)
{
    if (m_configuration && configuration->version() <= m_configuration->version())
        return false;
    m_configuration = configuration;
    refresh();
    return true;
}

ServiceLimiter &CallRouter::limiter(const GroupName &service)
{
    const auto found = m_limiters.find(service);
    if (found != m_limiters.end())
        return found->second;
    const ServiceRetryBudgetOptions options = {m_dependencies.m_bounds.m_retryRatio,
                                               m_dependencies.m_bounds.m_retryBurst,
                                               m_dependencies.m_bounds.m_retryWindow};
    ServiceLimiter &gate = m_limiters.emplace(service, ServiceLimiter(options)).first->second;
    updateLimits(service, gate);
    return gate;
}

void CallRouter::updateLimits(const GroupName &service, ServiceLimiter &gate)
{
    const TimePoint now = Clock::now();
    const auto gateways = std::max<std::size_t>(m_dependencies.m_peers.readyClients(now).size(), 1);
    const double slots = m_dependencies.m_endpoints.usableSlots(service, now);
    const GatewayService *declared =
        m_configuration ? m_configuration->findService(service) : nullptr;
    const bool isEngine = declared != nullptr && declared->m_batchSize > 0;
    const auto share = [&](double forSlot) {
        const double size = std::ceil(slots * forSlot / static_cast<double>(gateways));
        return std::max(smallestWindow, static_cast<std::size_t>(size));
    };
    const std::size_t window = share(isEngine ? requestsForEngineSlot : requestsForSlot);
    gate.setLimits(window, isEngine ? share(requestsForSlowSlot) : window);
}

std::size_t CallRouter::maxPerSecond(const GroupName &service) const
{
    const GatewayService *declared =
        m_configuration ? m_configuration->findService(service) : nullptr;
    if (declared == nullptr || declared->m_coldRequestsPerSecond <= 0)
        return 0;
    const auto fleet = static_cast<double>(m_dependencies.m_peers.gatewayCount(Clock::now()));
    const double share =
        declared->m_coldRequestsPerSecond * m_dependencies.m_bounds.m_coldBurst / fleet;
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
    for (auto &[service, gate] : m_limiters) {
        updateLimits(service, gate);
        dispatchQueued(service);
    }
}

void CallRouter::enqueue(const GroupName &service, const QueuedCall &waiter)
{
    limiter(service).queue().push(waiter);
    scheduleDispatch(service);
}

// Looks again soon: an endpoint's bound on arrivals, a breaker or a pause ends by time.
void CallRouter::scheduleDispatch(const GroupName &service)
{
    TimerId &timer = m_dispatchTimers[service];
    if (timer != 0)
        return;
    timer = m_dependencies.m_loop.callAt(Clock::now() + retryPause, [this, service] {
        m_dispatchTimers[service] = 0;
        dispatchQueued(service);
    });
}

void CallRouter::dispatchQueued(const GroupName &service)
{
    ServiceLimiter &gate = this->limiter(service);
    const TimePoint now = Clock::now();
    while (gate.queue().size() > 0 && gate.mayStart(now)) {
        const auto waiter = gate.queue().pop(now);
        const auto found = m_calls.find(waiter->m_id);
        if (found == m_calls.end())
            continue;
        const auto flow = found->second;
        if (!flow->dispatch()) {
            gate.queue().push(*waiter);
            break;
        }
    }
    if (gate.queue().size() > 0)
        scheduleDispatch(service);
}

void CallRouter::remove(QueuedCallId id)
{
    m_calls.erase(id);
}

} // namespace burdockhead
