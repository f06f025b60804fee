#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/quarantine/promptguard.h>

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead::test {

// What a simulated fleet is like.
struct FleetOptions
{
    std::size_t m_gateways = 9;
    std::size_t m_endpoints = 16;
    bool m_isGroup = true; // The endpoints are ranks in lock-step: when one crashes, all stop.
    double m_soundPerSecond = 60;
    double m_fatalPerSecond = 3;
    std::size_t m_topics = 200;      // Parts that sound requests have besides the first one.
    double m_gossipLoss = 0.02;      // Datagrams that are lost.
    bool m_usesGossip = true;        // Off: each gateway decides by itself.
    bool m_usesSoundParts = true;    // Off: parts don't clear themselves.
    bool m_usesQuarantine = true;    // Off: nothing is refused or sent apart.
    bool m_sharesFatalTopic = false; // Requests with the fatal part have a topic of others, too.
};

// Gateways with a PromptGuard each between clients and endpoints, under virtual time. Requests have
// the first part "first", a topic and a part of their own; fatal ones have the part "fatal", on
// which an endpoint crashes as it begins to answer. Gossip goes through the datagrams of the
// gateways.
class FleetSimulation
{
public:
    FleetSimulation(const FleetOptions &options, std::uint64_t seed);

    void run(Milliseconds span);

    // Whether clients send requests with the fatal part, and whether endpoints crash on it.
    void setFatalRequests(bool areSent) { m_sendsFatal = areSent; }
    void setFatal(bool isFatal) { m_isFatal = isFatal; }

    // Faults that have nothing to do with prompts.
    void crashEndpoints(std::size_t first, std::size_t count);
    void restartGateway(std::size_t number);
    void cutGateway(std::size_t number, Milliseconds span); // From the gossip.

    // Advances the clocks without requests.
    void skip(Milliseconds span);

    std::size_t fatalCrashes() const { return m_fatalCrashes.size(); }
    // Requests with the fatal part that reached an endpoint later than three seconds after the
    // fifth crash, from gateways that weren't restarted or cut in the last three seconds.
    std::size_t lateFatalArrivals() const { return m_lateFatalArrivals; }
    std::size_t fatalArrivals() const { return m_fatalArrivals; }

    std::size_t soundServed() const { return m_soundServed; }
    std::size_t soundQuarantined() const { return m_soundQuarantined; }
    void clearCounts();

    PromptGuard &guard(std::size_t number) { return *m_gateways[number].m_guard; }
    TimePoint now() const { return m_now; }

    static PromptPart part(const std::string &id);
    static PromptPart fatalPart() { return part("fatal"); }
    static PromptPart firstPart() { return part("first"); }

private:
    struct Request
    {
        PromptParts m_parts;
        bool m_isFatal = false;
        std::size_t m_gateway = 0;
        TimePoint m_arrivedAt;
        TimePoint m_firstEventAt;
        TimePoint m_endsAt;
        bool m_isIsolated = false;
        bool m_isSound = false;
    };

    struct Gateway
    {
        std::unique_ptr<PromptGuard> m_guard;
        std::list<Request> m_waiting;
        TimePoint m_startedAt;
        TimePoint m_cutUntil;
        TimePoint m_nextHeartbeatAt;
        TimePoint m_nextRefreshAt;
    };

    struct Endpoint
    {
        EndpointRun m_run;
        TimePoint m_upAt;
        std::list<Request> m_running;
    };

    void arrive(bool isFatal);
    void gossip(std::size_t number);
    void send(const QuarantineMessage &message, std::size_t from, std::size_t to);
    void dispatch(std::size_t number);
    bool trySend(Gateway &gateway, const Request &request);
    void advance(Endpoint &endpoint);
    void crash(Endpoint &endpoint);
    void breakRequests(Endpoint &endpoint);
    void failGroup();
    bool isOpen() const { return !m_options.m_isGroup || m_now >= m_groupOpensAt; }
    bool chance(double perStep);
    bool isInTouch(const Gateway &gateway) const;

    const FleetOptions m_options;
    Random m_random;
    TimePoint m_now = TimePoint(Seconds(1000));
    std::vector<Gateway> m_gateways;
    std::vector<Endpoint> m_endpoints;
    std::optional<TimePoint> m_groupFailsAt; // When the other ranks give up on a crashed one.
    EndpointRun m_failedRank;
    TimePoint m_groupOpensAt;
    bool m_sendsFatal = true;
    bool m_isFatal = true;
    std::vector<TimePoint> m_fatalCrashes;
    std::size_t m_fatalArrivals = 0;
    std::size_t m_lateFatalArrivals = 0;
    std::size_t m_soundServed = 0;
    std::size_t m_soundQuarantined = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace burdockhead::test
