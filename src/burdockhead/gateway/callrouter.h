#pragma once

#include <burdockhead/gateway/calldialect.h>
#include <burdockhead/gateway/clientages.h>
#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/gateway/gatewaybounds.h>
#include <burdockhead/gateway/gatewayconfiguration.h>
#include <burdockhead/gateway/peertable.h>
#include <burdockhead/gateway/servicegate.h>
#include <burdockhead/net/httpclientpool.h>
#include <burdockhead/observe/linesink.h>
#include <burdockhead/observe/metrics.h>

#include <map>
#include <memory>
#include <unordered_map>

namespace burdockhead {

class CallFlow;

// What every request of a gateway uses.
struct GatewayParts
{
    EventLoop &m_loop;
    HttpClientPool &m_client;
    const CallDialect &m_dialect;
    EndpointTable &m_endpoints;
    PeerTable &m_peers;
    LineSink &m_lines;
    Metrics &m_metrics;
    const GatewayBounds &m_bounds;
};

// Takes clients' requests and brings each to an endpoint in its turn.
class CallRouter
{
public:
    CallRouter(const GatewayParts &parts, Random seed);
    ~CallRouter();
    CallRouter(const CallRouter &) = delete;
    CallRouter &operator=(const CallRouter &) = delete;

    void handle(const std::shared_ptr<HttpExchange> &exchange);

    // Puts a configuration in force; false for one that isn't newer.
    bool applyConfiguration(const GatewayConfigurationPointer &configuration);
    const GatewayConfigurationPointer &configuration() const { return m_configuration; }

    // From now on refuses what comes.
    void refuseNew() { m_refusesNew = true; }
    bool refusesNew() const { return m_refusesNew; }

    // Sizes the windows after a change of endpoints or of the fleet, and lets waiting requests
    // go on.
    void refresh();

    std::size_t openRequests() const { return m_flows.size(); }

    // For CallFlow.
    const GatewayParts &parts() const { return m_parts; }
    ServiceGate &gate(const GroupName &service);
    std::size_t arrivalLimit(const GroupName &service) const;
    std::optional<FleetPlace> place(const GroupName &service) const;
    void wait(const GroupName &service, const Waiter &waiter);
    void letWaitingGo(const GroupName &service);
    void forget(WaiterId id);
    Random &random() { return m_random; }
    ClientAges &clientAges() { return m_clientAges; }

private:
    void sizeWindow(const GroupName &service, ServiceGate &gate);
    void wake(const GroupName &service);

    GatewayParts m_parts;
    Random m_random;
    GatewayConfigurationPointer m_configuration;
    std::map<GroupName, ServiceGate> m_gates;
    std::map<GroupName, TimerId> m_wakeUps;
    std::unordered_map<WaiterId, std::shared_ptr<CallFlow>> m_flows;
    ClientAges m_clientAges;
    FleetPlace m_place; // As of the last refresh.
    WaiterId m_lastFlow = 0;
    bool m_refusesNew = false;
};

} // namespace burdockhead
