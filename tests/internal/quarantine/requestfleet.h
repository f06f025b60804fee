#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/quarantine/promptguard.h>

#include <cstdint>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace burdockhead::test {

// What a simulated fleet is like.
struct RequestFleetOptions
{
    std::size_t m_gateways = 9;
    std::size_t m_endpoints = 3;
    double m_soundPerSecond = 10;
    double m_fatalPerSecond = 1;
    // Whether each arrival of the fatal request has a prompt of its own in its head.
    bool m_hasNewHeads = false;
    // Sound requests with the path, workspace and body of the fatal one, each with its own prompt.
    double m_sharedPerSecond = 0;
    // Fraction of the sound requests that are one request which many clients send.
    double m_popularShare = 0.2;
    Milliseconds m_longestRun{500}; // Of a sound request.
    double m_crashesPerSecond = 0;  // For other reasons, of the whole fleet.
    std::size_t m_largestCrash = 1; // Endpoints that crash together then.
    double m_gossipLoss = 0.02;     // Datagrams that are lost.
    bool m_usesGuard = true;        // Off: nothing is refused or held back.
    bool m_usesGossip = true;       // Off: each gateway decides by itself.
    bool m_countsEachCrash = false; // Crashes count also if the request was sent before the last.
};

// Gateways with a PromptGuard each before the endpoints of a plain service, under virtual time. One
// request crashes each endpoint that runs it; clients repeat it, and gateways repeat requests whose
// endpoint was lost, once. Sound requests are each of their own but for the popular one.
class RequestFleet
{
public:
    RequestFleet(const RequestFleetOptions &options, std::uint64_t seed);

    void run(Milliseconds span);

    void restartGateway(std::size_t number);
    void cutGateway(std::size_t number, Milliseconds span); // From the gossip.

    // Endpoints that the fatal request has crashed.
    std::size_t fatalCrashes() const { return m_fatalCrashes.size(); }

    // Fatal requests that reached an endpoint later than three seconds after the third of these
    // crashes, from gateways that weren't restarted or cut in the last three seconds.
    std::size_t lateFatalArrivals() const { return m_lateFatalArrivals; }

    std::size_t soundArrivals() const { return m_soundArrivals; }
    std::size_t soundServed() const { return m_soundServed; }

    std::size_t sharedArrivals() const { return m_sharedArrivals; }
    std::size_t sharedRefused() const { return m_sharedRefused; } // As being in quarantine.

    // Whether all endpoints were down at some time.
    bool wasServiceDown() const { return m_wasServiceDown; }

    // Sound requests that any gateway has put in quarantine.
    std::size_t soundQuarantined() const;
    std::size_t gatewaysThatQuarantine() const; // The fatal request.

private:
    struct Request
    {
        PromptParts m_fingerprints;
        bool m_isFatal = false;
        bool m_isShared = false; // Sound, with the fatal request's content.
        std::size_t m_gateway = 0;
        unsigned m_attempts = 0;
        TimePoint m_arrivedAt;
        TimePoint m_sentAt;
        TimePoint m_endsAt;
        bool m_isIsolated = false;
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
        bool m_isDown = false;
        std::list<Request> m_running;
    };

    void arrive(bool isFatal);
    void arriveShared();
    void add(Request request);
    PromptParts fatalHead();
    void dispatch(std::size_t number);
    bool trySend(Gateway &gateway, Request &request);
    void advance(Endpoint &endpoint);
    void crash(Endpoint &endpoint);
    void gossip(std::size_t number);
    void tell(std::size_t number);
    void send(const QuarantineMessage &message, std::size_t from, std::size_t to);
    bool chance(double perStep);

    const RequestFleetOptions m_options;
    Random m_random;
    TimePoint m_now = TimePoint(Seconds(1000));
    std::vector<Gateway> m_gateways;
    std::vector<Endpoint> m_endpoints;
    std::vector<TimePoint> m_fatalCrashes;
    std::size_t m_lateFatalArrivals = 0;
    std::size_t m_soundArrivals = 0;
    std::size_t m_soundServed = 0;
    std::size_t m_sharedArrivals = 0;
    std::size_t m_sharedRefused = 0;
    bool m_wasServiceDown = false;
    std::uint64_t m_lastRequest = 0;
    std::set<PromptPart> m_fatalFingerprints;
};

} // namespace burdockhead::test
