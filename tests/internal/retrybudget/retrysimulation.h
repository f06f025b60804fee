#pragma once

#include "retrylimit.h"
#include <burdockhead/base/random.h>
#include <burdockhead/gateway/serviceretrybudget.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace burdockhead::test {

// A span of time, such as that of a fault.
struct TimeSpan
{
    TimePoint m_from;
    TimePoint m_until;

    bool contains(TimePoint time) const { return time >= m_from && time < m_until; }
};

// Requests arrive so many times as often.
struct LoadChange
{
    TimeSpan m_span;
    double m_factor = 1;
};

// A gateway that is killed at some time and starts again, or is added, without what it knew.
struct GatewayStart
{
    std::size_t m_gateway = 0;
    TimePoint m_killedAt = TimePoint::max();
    TimePoint m_startedAt;
};

// A gateway that stands still.
struct GatewayFreeze
{
    std::size_t m_gateway = 0;
    TimeSpan m_span;
};

// Streams that break off at the same moment, as when an endpoint of a group fails.
struct BrokenStreams
{
    TimePoint m_at;
    std::size_t m_count = 0; // Over all gateways.
};

// What happens to gateways in front of one service whose endpoints fail most requests.
struct RetryScenario
{
    std::size_t m_gateways = 6;
    double m_requestsPerSecond = 85; // Of all gateways.
    double m_failureRate = 0.9;      // Attempts that fail, retries too.
    TimeSpan m_failing{TimePoint(Seconds(115)), TimePoint(Seconds(140))};
    Milliseconds m_maxTravelTime{3};   // From a gateway to an endpoint.
    Milliseconds m_maxResponseTime{5}; // Until an endpoint's refusal is back.
    double m_gossipLoss = 0.02;
    std::vector<LoadChange> m_loadChanges;
    std::vector<GatewayStart> m_starts;
    std::vector<GatewayFreeze> m_freezes;
    std::vector<BrokenStreams> m_brokenStreams;
    std::vector<TimeSpan> m_closures; // Requests wait in the gateways' queues meanwhile.
    ServiceRetryBudgetOptions m_budget{0.2, 88, Milliseconds(10000)};
};

// The window with the most retries beyond what is allowed.
struct BudgetWindow
{
    TimePoint m_start;
    std::size_t m_retries = 0;
    double m_allowed = 0;

    friend bool operator==(const BudgetWindow &, const BudgetWindow &) = default;
};

// Gateways that share a retry budget, under virtual time: from 100 s, when all gateways start, to
// the end of the scenario. Gossip goes through their PeerTables. Clients send each request to a
// random running gateway.
class RetrySimulation
{
public:
    using MakeLimit = std::function<std::unique_ptr<RetryLimit>()>;

    RetrySimulation(const RetryScenario &scenario, MakeLimit makeLimit, std::uint64_t seed);

    void run();

    // Returns the first window in which more retries arrived at the service than its budget allows;
    // requests count in that window, the one before it or the one half a window before it,
    // whichever has most, as the platform counts them.
    std::optional<BudgetWindow> findBrokenWindow() const;

    std::size_t retriesArrived() const { return m_retryArrivals.size(); }
    std::size_t retriesRefused() const { return m_retriesRefused; }

private:
    struct Gateway
    {
        std::unique_ptr<PeerTable> m_peers;
        std::unique_ptr<RetryLimit> m_limit;
        std::uint64_t m_incarnation = 0;
        TimePoint m_nextHeartbeatAt;
        std::vector<bool> m_waiting;      // Whether each waiting request is a retry.
        std::size_t m_unreadRequests = 0; // That arrived while it stood still.
    };

    enum class EventType : std::uint8_t {
        Arrival,  // At an endpoint.
        Response, // At the gateway.
    };

    struct Event
    {
        TimePoint m_at;
        EventType m_type = EventType::Arrival;
        std::size_t m_gateway = 0;
        std::uint64_t m_incarnation = 0; // Of the gateway when it sent the request.
        bool m_isRetry = false;

        friend bool operator>(const Event &left, const Event &right)
        {
            return left.m_at > right.m_at;
        }
    };

    void start(std::size_t number);
    void startGateways();
    void breakStreams();
    void retry(std::size_t number);
    void sendRequests();
    void advanceGateway(std::size_t number);
    void sendHeartbeat(std::size_t number);
    void send(std::size_t number, bool isRetry);
    void handle(const Event &event);
    bool isRunning(std::size_t number) const;
    bool isClosed() const;
    bool chance(double probability);
    Duration randomDuration(Duration longest);
    PeerRecord recordOf(std::size_t number) const;

    const RetryScenario m_scenario;
    const MakeLimit m_makeLimit;
    Random m_random;
    TimePoint m_now{Seconds(100)};
    std::vector<Gateway> m_gateways;
    std::vector<bool> m_isStarted; // Of the scenario's starts.
    std::vector<bool> m_isBroken;  // Of the scenario's streams.
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<TimePoint> m_requestTimes; // When clients sent them.
    std::vector<TimePoint> m_retryArrivals;
    std::size_t m_retriesRefused = 0;
};

} // namespace burdockhead::test
