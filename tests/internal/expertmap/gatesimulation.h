#pragma once

#include "rankactor.h"
#include <burdockhead/expertmap/mapchangedriver.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace burdockhead {

// Thrown by a simulated engine to end the agent in the middle of a call.
struct AgentCrash
{};

// A group of ranks with their agents, rival drivers and a network that loses, delays,
// reorders and doubles messages, all in virtual time. Each choice is one event.
class GateSimulation
{
public:
    static constexpr std::uint32_t rankCount = 3;

    // Engines that don't check sequence numbers apply an order after a later one.
    explicit GateSimulation(RankActorFactory factory, bool enginesCheck = true);
    ~GateSimulation();
    GateSimulation(const GateSimulation &) = delete;
    GateSimulation &operator=(const GateSimulation &) = delete;

    // Makes the event that the number stands for.
    void apply(std::uint32_t choice);

    // Ends all faults; true when the group steps on and a new change goes live in time.
    bool recovers();

    // Virtual time from the end of the faults until that was so.
    Milliseconds recoveryTime() const { return m_recoveryTime; }

    // True when two ranks used different maps in a step, or a step an older map than one
    // before it.
    bool violated() const { return m_violated; }

    // Steps that all ranks began, and changes that went live.
    std::uint64_t stepsBegun() const { return m_versions.size(); }
    std::size_t changesLive() const { return m_liveChanges.size(); }

private:
    class Engine;
    struct Driver
    {
        MapChangeDriver m_driver;
        bool m_paused = false;
    };
    struct Packet
    {
        bool m_toDriver = false;
        std::size_t m_from = 0; // Of a rank or a driver, as m_fromDriver tells.
        std::size_t m_to = 0;
        bool m_fromDriver = false;
        GateMessage m_message;
    };
    using Event = void (GateSimulation::*)(std::uint32_t choice);

    void deliverOne(std::uint32_t choice);
    void dropOne(std::uint32_t choice);
    void doubleOne(std::uint32_t choice);
    void tickAgent(std::uint32_t choice);
    void tickDriver(std::uint32_t choice);
    void beginStep(std::uint32_t choice);
    void passTime(std::uint32_t choice);
    void restartAgent(std::uint32_t choice);
    void startDriver(std::uint32_t choice);
    void pauseDriver(std::uint32_t choice);
    void breakEngineCall(std::uint32_t choice);
    void applyLateOrder(std::uint32_t choice);

    void deliver(const Packet &packet);
    void deliverToRank(const Packet &packet);
    void send(std::size_t from, bool fromDriver, const std::vector<RankMessage> &messages);
    void tryBegin(std::uint32_t rank);
    void noteStep(std::uint32_t rank, std::uint64_t step);
    void recoveryRound();
    bool hasRecovered(std::uint64_t stepsBefore, std::size_t changesBefore) const;

    RankActorFactory m_factory;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<RankActor>> m_actors;
    std::vector<Driver> m_drivers;
    std::vector<Packet> m_network;
    TimePoint m_now;
    Random m_random;
    std::uint64_t m_fence = 0;
    std::map<std::uint64_t, std::uint64_t> m_versions; // By step.
    std::set<ChangeId> m_liveChanges;
    Milliseconds m_recoveryTime{0};
    bool m_violated = false;
};

} // namespace burdockhead
