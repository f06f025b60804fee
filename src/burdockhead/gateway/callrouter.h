#pragma once

#include <burdockhead/gateway/bufferbudget.h>
#include <burdockhead/gateway/callprotocol.h>
#include <burdockhead/gateway/clientageestimator.h>
#include <burdockhead/gateway/endpointpaces.h>
#include <burdockhead/gateway/endpointprober.h>
#include <burdockhead/gateway/endpointtable.h>
#include <burdockhead/gateway/gatewaybounds.h>
#include <burdockhead/gateway/gatewayconfiguration.h>
#include <burdockhead/gateway/loadtable.h>
#include <burdockhead/gateway/peertable.h>
#include <burdockhead/gateway/servicelimiter.h>
#include <burdockhead/net/httpclientpool.h>
#include <burdockhead/observe/linesink.h>
#include <burdockhead/observe/metrics.h>
#include <burdockhead/quarantine/promptguard.h>
#include <burdockhead/ratelimit/endpointrates.h>

#include <map>
#include <memory>
#include <unordered_map>

namespace burdockhead {

class ProxiedCall;

// The components that every request of a gateway uses.
struct GatewayDependencies
{
    EventLoop &m_loop;
    HttpClientPool &m_client;
    const CallProtocol &m_protocol;
    EndpointTable &m_endpoints;
    PeerTable &m_peers;
    LoadTable &m_loads;
    PromptGuard &m_promptGuard;
    EndpointProber &m_prober;
    EndpointRates &m_rates;
    LineSink &m_log;
    Metrics &m_metrics;
    const GatewayBounds &m_bounds;
};

// Accepts client requests, and dispatches each to an endpoint within its service's limits.
class CallRouter
{
public:
    CallRouter(const GatewayDependencies &dependencies, Random seed);
    ~CallRouter();
    CallRouter(const CallRouter &) = delete;
    CallRouter &operator=(const CallRouter &) = delete;

    // Handles a request, or keeps it until open() is called.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    // Handles the requests that have been kept, and every further one at once. To be called when
    // the first configuration and the endpoints are known, or when they won't be known soon.
    // Answers the clients that wait for a process to start after a crash.
    void open();

    void setConfiguration(const GatewayConfigurationPointer &configuration);
    const GatewayConfigurationPointer &configuration() const { return m_configuration; }

    // Refuses all further requests.
    void refuseNew() { m_refusesNew = true; }
    bool refusesNew() const { return m_refusesNew; }

    // Refuses further requests that may not end by then, as far as their service's times tell.
    void refuseUnlessDoneBy(TimePoint time) { m_servesUntil = time; }
    TimePoint servesUntil() const { return m_servesUntil; }

    // Ends all requests at once, each with a response that says what is known of it.
    void endAll();

    // Recomputes concurrency limits after a change of endpoints or gateways, and dispatches queued
    // requests.
    void refresh();

    // Sets how much slower than healthy ones some endpoints are, and moves streams away from those
    // that hold up all others.
    void setSlowness(std::map<SocketAddress, double> factors);

    std::size_t openRequests() const { return m_calls.size(); }

    // Returns the requests of each service that has any.
    std::vector<ServiceLoad> load();

    // Records what an endpoint says of the rate that it takes.
    void recordRate(const RateStatement &statement);

    // Used by ProxiedCall.
    const GatewayDependencies &dependencies() const { return m_dependencies; }
    ServiceLimiter &limiter(const GroupName &service);
    double burstShare(TimePoint now) const; // Of retry budgets.

    // Returns how long a further request waits for endpoints that name rates; 0 unless all of the
    // service do.
    Duration pacedWait(const GroupName &service, TimePoint now);
    // Returns whether the service keeps an endpoint if a request crashes another one.
    bool hasSpareEndpoint(const GroupName &service, TimePoint now) const;
    std::size_t maxPerSecond(const GroupName &service) const;
    std::optional<GatewayPosition> position(const GroupName &service) const;
    void enqueue(const GroupName &service, const QueuedCall &queuedCall);
    void dispatchQueued(const GroupName &service);
    void remove(CallId id);
    Random &random() { return m_random; }
    ClientAgeEstimator &clientAgeEstimator() { return m_clientAgeEstimator; }
    BufferBudget &responseBuffers() { return m_responseBuffers; }

    // Gives up the response that takes most of the room of all; false if none takes more than that.
    bool giveUpLongestResponse(std::size_t bytes);

private:
    ServiceRetryBudgetOptions retryBudgetOptions() const;
    void updateCapacity(const GroupName &service, ServiceLimiter &serviceLimiter);
    void scheduleDispatch(const GroupName &service);

    GatewayDependencies m_dependencies;
    Random m_random;
    EndpointPaces m_paces;
    GatewayConfigurationPointer m_configuration;
    std::map<GroupName, ServiceLimiter> m_limiters;
    std::map<GroupName, TimerId> m_dispatchTimers;
    BufferBudget m_responseBuffers; // Must outlive the calls.
    std::unordered_map<CallId, std::shared_ptr<ProxiedCall>> m_calls;
    ClientAgeEstimator m_clientAgeEstimator;
    GatewayPosition m_position; // As of the last refresh.
    CallId m_lastId = 0;
    std::vector<CallId> m_keptCalls; // Before open().
    bool m_isOpen = false;
    bool m_refusesNew = false;
    TimePoint m_servesUntil = TimePoint::max();
};

} // namespace burdockhead
