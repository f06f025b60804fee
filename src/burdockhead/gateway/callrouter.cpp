#include <burdockhead/gateway/callflow.h>
#include <burdockhead/gateway/callrouter.h>

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

CallRouter::CallRouter(const GatewayParts &parts, Random seed)
    : m_parts(parts)
    , m_random(seed)
{}

CallRouter::~CallRouter() = default;

void CallRouter::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const WaiterId id = ++m_lastFlow;
    const auto flow = std::make_shared<CallFlow>(*this, exchange, id);
    m_flows.emplace(id, flow);
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

ServiceGate &CallRouter::gate(const GroupName &service)
{
    const auto found = m_gates.find(service);
    if (found != m_gates.end())
        return found->second;
    const RetryAllowanceOptions options = {m_parts.m_bounds.m_retryRatio,
                                           m_parts.m_bounds.m_retryBurst,
                                           m_parts.m_bounds.m_retryWindow};
    ServiceGate &gate = m_gates.emplace(service, ServiceGate(options)).first->second;
    sizeWindow(service, gate);
    return gate;
}

void CallRouter::sizeWindow(const GroupName &service, ServiceGate &gate)
{
    const TimePoint now = Clock::now();
    const auto gateways = std::max<std::size_t>(m_parts.m_peers.readyClients(now).size(), 1);
    const double slots = m_parts.m_endpoints.slots(service, now);
    const GatewayService *declared =
        m_configuration ? m_configuration->findService(service) : nullptr;
    const bool isEngine = declared != nullptr && declared->m_batch > 0;
    const auto share = [&](double forSlot) {
        const double size = std::ceil(slots * forSlot / static_cast<double>(gateways));
        return std::max(smallestWindow, static_cast<std::size_t>(size));
    };
    const std::size_t window = share(isEngine ? requestsForEngineSlot : requestsForSlot);
    gate.setWindow(window, isEngine ? share(requestsForSlowSlot) : window);
}

std::size_t CallRouter::arrivalLimit(const GroupName &service) const
{
    const GatewayService *declared =
        m_configuration ? m_configuration->findService(service) : nullptr;
    if (declared == nullptr || declared->m_coldPerSecond <= 0)
        return 0;
    const auto fleet = static_cast<double>(m_parts.m_peers.fleetSize(Clock::now()));
    const double share = declared->m_coldPerSecond * m_parts.m_bounds.m_coldBurst / fleet;
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

// Engines are divided among the gateways; plain services have few endpoints and short requests.
std::optional<FleetPlace> CallRouter::place(const GroupName &service) const
{
    const GatewayService *declared =
        m_configuration ? m_configuration->findService(service) : nullptr;
    if (declared == nullptr || declared->m_batch == 0)
        return std::nullopt;
    return m_place;
}

void CallRouter::refresh()
{
    m_place = m_parts.m_peers.ownPlace(Clock::now());
    for (auto &[service, gate] : m_gates) {
        sizeWindow(service, gate);
        letWaitingGo(service);
    }
}

void CallRouter::wait(const GroupName &service, const Waiter &waiter)
{
    gate(service).line().push(waiter);
    wake(service);
}

// Looks again soon: an endpoint's bound on arrivals, a breaker or a pause ends by time.
void CallRouter::wake(const GroupName &service)
{
    TimerId &timer = m_wakeUps[service];
    if (timer != 0)
        return;
    timer = m_parts.m_loop.callAt(Clock::now() + retryPause, [this, service] {
        m_wakeUps[service] = 0;
        letWaitingGo(service);
    });
}

void CallRouter::letWaitingGo(const GroupName &service)
{
    ServiceGate &gate = this->gate(service);
    const TimePoint now = Clock::now();
    while (gate.line().size() > 0 && gate.mayStart(now)) {
        const auto waiter = gate.line().pop(now);
        const auto found = m_flows.find(waiter->m_id);
        if (found == m_flows.end())
            continue;
        const auto flow = found->second;
        if (!flow->dispatch()) {
            gate.line().push(*waiter);
            break;
        }
    }
    if (gate.line().size() > 0)
        wake(service);
}

void CallRouter::forget(WaiterId id)
{
    m_flows.erase(id);
}

} // namespace burdockhead
