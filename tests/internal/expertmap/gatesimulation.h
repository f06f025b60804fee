#pragma once

#include "rankactor.h"
#include <burdockhead/expertmap/mapchangecoordinator.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace burdockhead {

// Thrown by a simulated engine to crash the agent during a call.
struct AgentCrash
{};

// A group of ranks with their agents, competing coordinators and a network that drops, delays,
// reorders and duplicates messages, in virtual time. Each choice selects one event.
class GateSimulation
{
public:
    static constexpr std::uint32_t rankCount = 3;

    // Engines that don't check sequence numbers apply orders out of order.
    explicit GateSimulation(RankActorFactory factory, bool enginesCheckSequence = true);
    ~GateSimulation();
    GateSimulation(const GateSimulation &) = delete;
    GateSimulation &operator=(const GateSimulation &) = delete;

    // Runs the event that the number selects.
    void apply(std::uint32_t choice);

    // Stops all faults; returns true if steps continue and a new change takes effect in time.
    bool recover();

    // Returns the virtual time from the end of the faults to the recovery.
    Milliseconds recoveryTime() const { return m_recoveryTime; }

    // Returns true if two ranks used different maps in one step, or a step used an older map than
    // an earlier step.
    bool hasViolation() const { return m_hasViolation; }

    // Return the number of steps begun and of changes that took effect.
    std::uint64_t stepCount() const { return m_versions.size(); }
    std::size_t effectiveChangeCount() const { return m_effectiveChanges.size(); }

private:
    class Engine;
    struct Coordinator
    {
        MapChangeCoordinator m_coordinator;
        bool m_isPaused = false;
    };
    struct Packet
    {
        bool m_isToCoordinator = false;
        std::size_t m_from = 0; // Index of a rank or a coordinator.
        std::size_t m_to = 0;
        bool m_isFromCoordinator = false;
        MapChangeMessage m_message;
    };
    using Event = void (GateSimulation::*)(std::uint32_t choice);

    void deliverOne(std::uint32_t choice);
    void dropOne(std::uint32_t choice);
    void duplicateOne(std::uint32_t choice);
    void tickAgent(std::uint32_t choice);
    void tickCoordinator(std::uint32_t choice);
    void beginStep(std::uint32_t choice);
    void advanceTime(std::uint32_t choice);
    void restartAgent(std::uint32_t choice);
    void startCoordinator(std::uint32_t choice);
    void pauseCoordinator(std::uint32_t choice);
    void injectEngineFault(std::uint32_t choice);
    void applyDelayedOrder(std::uint32_t choice);

    void deliver(const Packet &packet);
    void deliverToRank(const Packet &packet);
    void send(std::size_t from, bool isFromCoordinator, const std::vector<RankMessage> &messages);
    void tryBeginStep(std::uint32_t rank);
    void recordStep(std::uint32_t rank, std::uint64_t step);
    void recoveryRound();
    bool hasRecovered(std::uint64_t stepsBefore, std::size_t changesBefore) const;

    RankActorFactory m_factory;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<RankActor>> m_actors;
    std::vector<Coordinator> m_coordinators;
    std::vector<Packet> m_network;
    TimePoint m_now;
    Random m_random;
    std::uint64_t m_fence = 0;
    std::map<std::uint64_t, std::uint64_t> m_versions; // Indexed by step.
    std::set<ChangeId> m_effectiveChanges;
    Milliseconds m_recoveryTime{0};
    bool m_hasViolation = false;
};

} // namespace burdockhead
