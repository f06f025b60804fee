#pragma once

#include "fakereplica.h"
#include "measurements.h"
#include <burdockhead/routing/entryrouter.h>

#include <memory>
#include <optional>
#include <vector>

namespace burdockhead {

// What a simulation is set up with.
struct SimulationOptions
{
    RouterOptions m_router;
    unsigned m_replicas = 18;
    unsigned m_entryCount = 9;
    double m_load = 0.8; // Offered requests over the capacity of all replicas.
    Seconds m_length{60};
    std::uint64_t m_seed = 1;
    bool m_hedges = false;
    bool m_kinds = false; // A mix of weights, a tenth of it payments that may not be repeated.
};

// Entries with routers, fake replicas and callers in virtual time. Reports and cache events
// reach the entries late, cache events with gaps.
class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options);

    // Does something after that time.
    void at(Duration time, EventQueue::Action action) { m_events.after(time, std::move(action)); }

    // Runs to the end and until what was begun has ended.
    void run();

    FakeReplica &replica(unsigned number) { return *m_replicas[number]; }
    unsigned replicaCount() const { return m_options.m_replicas; }

    // Stops a replica or starts it anew. Membership tells the entries after `lag`.
    void stopReplica(unsigned number, Duration detection, Duration lag);
    void startReplica(unsigned number, Duration lag);

    // Takes a data centre out or brings it back; the entries learn it within a second.
    void setTakenOut(unsigned dataCentre, bool takenOut);

    // Requests that arrived in the seconds [from, to) of the run.
    Measurements between(unsigned from, unsigned to) const;
    const Measurements &measurements() const { return m_measurements; }

    static constexpr unsigned dataCentres = 3;

private:
    struct Attempt;
    struct Flight;
    using AttemptPointer = std::shared_ptr<Attempt>;
    using FlightPointer = std::shared_ptr<Flight>;

    void buildConfiguration();
    void announceEverywhere(unsigned number, ReplicaState state, Duration lag);
    void scheduleArrival();
    void scheduleReports();
    void scheduleSkew();
    FlightPointer drawFlight();
    void tryNext(const FlightPointer &flight);
    void send(const FlightPointer &flight, const RouteTarget &target);
    void scheduleHedge(const FlightPointer &flight);
    void ended(const FlightPointer &flight, const AttemptPointer &attempt, AttemptOutcome outcome,
               const std::optional<LoadReport> &report);
    void cancelOthers(const FlightPointer &flight);
    void comeBack(const FlightPointer &flight, TimePoint at);
    void close(const FlightPointer &flight, bool completed);
    void cacheEvent(unsigned number, std::uint64_t prefix, bool stored);
    Duration delay(unsigned entry, unsigned number) const;
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
