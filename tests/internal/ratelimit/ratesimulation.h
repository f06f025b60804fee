#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/gateway/endpointpaces.h>
#include <burdockhead/gateway/slidingwindowcounter.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace burdockhead::test {

// How gateways limit what they send to an endpoint that names a rate.
enum class RateStrategy : std::uint8_t {
    Parts,      // As gateways do.
    WholeRate,  // Each keeps to the whole rate by itself.
    EqualParts, // Each has an equal part and sends one request at once.
};

// What happens to gateways in front of endpoints that name a rate from 8 s to 30 s.
struct RateScenario
{
    std::size_t m_gateways = 9;
    std::size_t m_endpoints = 6;
    std::size_t m_limited = 6; // Of them, those that name a rate.
    double m_rate = 1.3;
    double m_requestsPerSecond = 60; // Of all gateways.
    std::size_t m_busyGateways = 9;  // All requests arrive at these.
    Milliseconds m_shiftInterval{0}; // Other gateways are busy after each; 0 for never.
    Milliseconds m_serviceTime{50};  // Until the response begins.
    Milliseconds m_connectTime{0};   // Longest time until a request is sent.
    double m_gossipLoss = 0.02;
    std::size_t m_restarts = 0; // Gateways that are killed and start again half a second later.
    std::optional<TimePoint> m_standstillAt; // All endpoints stand still for two seconds from then.
    RateStrategy m_strategy = RateStrategy::Parts;
};

// A window in which an endpoint got too much.
struct RateWindow
{
    std::size_t m_requests = 0;
    double m_allowed = 0;

    friend bool operator==(const RateWindow &, const RateWindow &) = default;
};

// Gateways with the tables that decide on rates, under virtual time. Gossip goes from table to
// table.
class RateSimulation
{
public:
    RateSimulation(const RateScenario &scenario, std::uint64_t seed);

    void run();

    // Returns a window of four seconds in which an endpoint got more than three halves of what its
    // rate allows and five requests, from three seconds after it first named the rate on; requests
    // of gateways within four seconds of their restart don't count.
    std::optional<RateWindow> findBrokenWindow() const;

    // Returns the requests per second that reached limited endpoints, from five seconds after they
    // first named their rates until they named none, as a fraction of the rates.
    double usedFraction() const;

    // Returns the requests that no endpoint took at once while all was calm at the end.
    std::size_t refusedAfterwards() const { return m_refusedAfterwards; }

private:
    struct Gateway
    {
        std::unique_ptr<EndpointTable> m_endpoints;
        std::unique_ptr<PeerTable> m_peers;
        std::unique_ptr<LoadTable> m_loads;
        std::unique_ptr<EndpointRates> m_rates;
        std::unique_ptr<EndpointPaces> m_paces;
        std::unique_ptr<SlidingWindowCounter> m_arrivals;
        std::uint64_t m_incarnation = 0;
        TimePoint m_startedAt;
        TimePoint m_nextHeartbeatAt;
        TimePoint m_nextRefreshAt;
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
        std::uint64_t m_incarnation = 0;
        std::size_t m_endpoint = 0;
        KnownEndpointPointer m_known;
        std::uint64_t m_ticket = 0;
        TimePoint m_sentAt;
        std::optional<double> m_rate;

        friend bool operator>(const Event &left, const Event &right)
        {
            return left.m_at > right.m_at;
        }
    };

    struct ArrivedRequest
    {
        TimePoint m_at;
        bool m_counts = false;
    };

    void start(std::size_t number);
    void restart();
    void advance(std::size_t number);
    void sendHeartbeat(Gateway &gateway);
    void setPaces(Gateway &gateway);
    void sendRequests();
    void request(std::size_t number);
    void handle(const Event &event);
    void respond(const Event &event);
    std::size_t busyGateway();
    std::optional<double> rateOf(std::size_t endpoint) const;
    Duration randomDuration(Duration longest);

    const RateScenario m_scenario;
    Random m_random;
    TimePoint m_now;
    std::vector<Gateway> m_gateways;
    std::size_t m_restarted = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::vector<ArrivedRequest>> m_arrived; // By endpoint.
    std::vector<TimePoint> m_firstNamedAt;              // By endpoint.
    std::size_t m_refusedAfterwards = 0;
};

} // namespace burdockhead::test
