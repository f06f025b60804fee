#pragma once

#include "fakereplica.h"
#include "measurements.h"
#include <burdockhead/routing/entryrouter.h>

#include <memory>
#include <optional>
#include <vector>

namespace burdockhead {

// Options of a simulation.
struct SimulationOptions
{
    RouterOptions m_router;
    unsigned m_replicas = 18;
    unsigned m_entryCount = 9;
    double m_load = 0.8; // Offered load over the capacity of all replicas.
    Seconds m_duration{60};
    std::uint64_t m_seed = 1;
    bool m_hasHedging = false;
    bool m_hasMixedKinds = false; // Mixes weights; a tenth are non-repeatable payments.
};

// Simulates entries with routers, fake replicas and callers in virtual time. Load reports and cache
// events reach the entries with a delay, and some cache events are lost.
class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options);

    // Schedules an action after a delay.
    void scheduleAction(Duration time, EventQueue::Action action)
    {
        m_events.schedule(time, std::move(action));
    }

    // Runs the whole duration and drains the requests in flight.
    void run();

    FakeReplica &replica(unsigned number) { return *m_replicas[number]; }
    unsigned replicaCount() const { return m_options.m_replicas; }

    // Stop or restart a replica. Membership announces it to the entries after `lag`.
    void stopReplica(unsigned number, Duration detectionDelay, Duration lag);
    void startReplica(unsigned number, Duration lag);

    // Takes a data centre out or brings it back; the entries apply the change within a second.
    void setTakenOut(unsigned dataCentre, bool takenOut);

    // Returns the measurements of requests that arrived in the seconds [from, to) of the run.
    Measurements between(unsigned from, unsigned to) const;
    const Measurements &measurements() const { return m_measurements; }

    static constexpr unsigned dataCentres = 3;

private:
    struct Attempt;
    struct PendingRequest;
    using AttemptPointer = std::shared_ptr<Attempt>;
    using PendingRequestPointer = std::shared_ptr<PendingRequest>;

    void buildConfiguration();
    void announceEverywhere(unsigned number, ReplicaState state, Duration lag);
    void scheduleArrival();
    void scheduleReports();
    void scheduleSkew();
    PendingRequestPointer drawRequest();
    void tryNextReplica(const PendingRequestPointer &pending);
    void send(const PendingRequestPointer &pending, const RouteTarget &target);
    void scheduleHedge(const PendingRequestPointer &pending);
    void handleAttemptEnd(const PendingRequestPointer &pending, const AttemptPointer &attempt,
                          AttemptOutcome outcome, const std::optional<LoadReport> &report);
    void cancelOthers(const PendingRequestPointer &pending);
    void scheduleClientRetry(const PendingRequestPointer &pending, TimePoint at);
    void finish(const PendingRequestPointer &pending, bool completed);
    void publishCacheEvent(unsigned number, std::uint64_t prefix, bool stored);
    Duration networkDelay(unsigned entry, unsigned number) const;
    static EndpointName endpointName(unsigned number);

    SimulationOptions m_options;
    Random m_random;
    EventQueue m_events;
    TimePoint m_start;
    Configuration m_configuration;
    std::uint64_t m_version = 0;
    std::vector<std::unique_ptr<FakeReplica>> m_replicas;
    std::vector<std::uint64_t> m_incarnations;
    std::vector<EntryRouter> m_routers;
    std::discrete_distribution<std::uint64_t> m_prefixes;
    Measurements m_measurements;
};

} // namespace burdockhead
