#include "gatesimulation.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockhead {

namespace {

constexpr std::uint64_t marginSteps = 8;
constexpr Milliseconds roundTime(100);
constexpr int recoveryRounds = 200;
constexpr std::size_t maxDrivers = 6;
constexpr std::size_t maxPackets = 12;

} // namespace

// The part of an engine that the gate needs, with calls that fail on order.
class GateSimulation::Engine : public StepEngine
{
public:
    Engine(GateSimulation &simulation, bool checks)
        : m_simulation(simulation)
        , m_checks(checks)
    {}

    std::optional<StepEngineState> read() override { return m_state; }

    std::optional<StepEngineState> store(const GateRecord &record) override
    {
        const Fault fault = std::exchange(m_fault, Fault::None);
        if (fault == Fault::NotApplied)
            return std::nullopt;
        if (fault == Fault::StepsBefore) {
            for (std::uint64_t step = 0; step < 2 * marginSteps; ++step)
                for (std::uint32_t rank = 0; rank < rankCount; ++rank)
                    m_simulation.tryBegin(rank);
        }
        if (fault == Fault::AppliedLate) {
            m_late = record;
            return std::nullopt;
        }
        if (!apply(record))
            return std::nullopt;
        if (fault == Fault::AgentDies)
            throw AgentCrash();
        if (fault == Fault::AnswerLost)
            return std::nullopt;
        return m_state;
    }

    bool stage(const ChangeId &, const ExpertMap &) override { return true; }

    bool apply(const GateRecord &record)
    {
        if (m_checks && record.m_sequence <= m_state.m_record.m_sequence)
            return false;
        m_state.m_record = record;
        return true;
    }

    bool mayBegin() const
    {
        const std::uint64_t limit = m_state.m_record.stepLimit();
        return limit == 0 || m_state.m_nextStep < limit;
    }

    enum class Fault {
        None,
        NotApplied,
        AnswerLost,
        AgentDies,
        StepsBefore,
        AppliedLate,
    };

    StepEngineState m_state;
    Fault m_fault = Fault::None;
    std::optional<GateRecord> m_late; // An order that is long under way.

private:
    GateSimulation &m_simulation;
    bool m_checks;
};

GateSimulation::GateSimulation(RankActorFactory factory, bool enginesCheck)
    : m_factory(factory)
    , m_random(1)
{
    for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
        m_engines.push_back(std::make_unique<Engine>(*this, enginesCheck));
        m_actors.push_back(factory(rank, rankCount, *m_engines[rank]));
    }
}

GateSimulation::~GateSimulation() = default;

void GateSimulation::apply(std::uint32_t choice)
{
    struct Weight
    {
        std::uint32_t m_share;
        Event m_event;
    };
    static constexpr std::array<Weight, 12> weights = {{
        {1200, &GateSimulation::deliverOne},
        {200, &GateSimulation::tickDriver},
        {200, &GateSimulation::tickAgent},
        {300, &GateSimulation::beginStep},
        {50, &GateSimulation::passTime},
        {50, &GateSimulation::dropOne},
        {50, &GateSimulation::doubleOne},
        {40, &GateSimulation::restartAgent},
        {40, &GateSimulation::breakEngineCall},
        {10, &GateSimulation::startDriver},
        {10, &GateSimulation::pauseDriver},
        {20, &GateSimulation::applyLateOrder},
    }};
    constexpr std::uint32_t total = 2170;
    std::uint32_t share = choice % total;
    for (const Weight &weight : weights) {
        if (share < weight.m_share) {
            (this->*weight.m_event)(choice / total);
            return;
        }
        share -= weight.m_share;
    }
}

void GateSimulation::deliverOne(std::uint32_t choice)
{
    if (m_network.empty())
        return;
    const std::size_t index = choice % m_network.size();
    const Packet packet = m_network[index];
    m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
    deliver(packet);
}

void GateSimulation::dropOne(std::uint32_t choice)
{
    if (!m_network.empty())
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(choice % m_network.size()));
}

void GateSimulation::doubleOne(std::uint32_t choice)
{
    if (!m_network.empty())
        m_network.push_back(Packet(m_network[choice % m_network.size()]));
}

void GateSimulation::deliver(const Packet &packet)
{
    if (!packet.m_toDriver)
        deliverToRank(packet);
    else if (packet.m_to < m_drivers.size())
        m_drivers[packet.m_to].m_driver.note(packet.m_message, m_now);
}

void GateSimulation::deliverToRank(const Packet &packet)
{
    std::optional<GateMessage> answer;
    try {
        answer = m_actors[packet.m_to]->answer(packet.m_message, m_now);
    } catch (const AgentCrash &) {
        restartAgent(static_cast<std::uint32_t>(packet.m_to));
    }
    if (answer)
        m_network.push_back({packet.m_fromDriver, packet.m_to, packet.m_from, false, *answer});
}

// Keeps the network small by losing messages, so that those left are mostly recent.
void GateSimulation::send(std::size_t from, bool fromDriver,
                          const std::vector<RankMessage> &messages)
{
    for (const RankMessage &message : messages)
        m_network.push_back({false, from, message.m_rank, fromDriver, message.m_message});
    while (m_network.size() > maxPackets)
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(m_random() % maxPackets));
}

void GateSimulation::tickAgent(std::uint32_t choice)
{
    const std::uint32_t rank = choice % rankCount;
    try {
        send(rank, false, m_actors[rank]->tick(m_now));
    } catch (const AgentCrash &) {
        restartAgent(rank);
    }
}

void GateSimulation::tickDriver(std::uint32_t choice)
{
    if (m_drivers.empty())
        startDriver(choice);
    const std::size_t index = choice % m_drivers.size();
    if (!m_drivers[index].m_paused)
        send(index, true, m_drivers[index].m_driver.tick(m_now, m_random));
}

void GateSimulation::beginStep(std::uint32_t choice)
{
    tryBegin(choice % rankCount);
}

// Lock-step: no rank begins a step before all have begun the one before.
void GateSimulation::tryBegin(std::uint32_t rank)
{
    Engine &engine = *m_engines[rank];
    const std::uint64_t step = engine.m_state.m_nextStep;
    const bool othersHere = std::all_of(m_engines.begin(), m_engines.end(), [&](const auto &other) {
        return other->m_state.m_nextStep >= step;
    });
    if (!othersHere || !engine.mayBegin())
        return;
    ++engine.m_state.m_nextStep;
    noteStep(rank, step);
}

void GateSimulation::noteStep(std::uint32_t rank, std::uint64_t step)
{
    const GateRecord &record = m_engines[rank]->m_state.m_record;
    const std::uint64_t version = record.versionAt(step);
    const auto [position, isNew] = m_versions.emplace(step, version);
    if (position->second != version)
        m_violated = true;
    if (position != m_versions.begin() && std::prev(position)->second > version)
        m_violated = true;
    if (record.m_live.m_version > 0 && step >= record.m_live.m_step)
        m_liveChanges.insert(record.m_live.m_id);
}

void GateSimulation::passTime(std::uint32_t choice)
{
    m_now += Milliseconds(choice % 400);
}

void GateSimulation::restartAgent(std::uint32_t choice)
{
    const std::uint32_t rank = choice % rankCount;
    m_engines[rank]->m_fault = Engine::Fault::None;
    m_actors[rank] = m_factory(rank, rankCount, *m_engines[rank]);
}

void GateSimulation::startDriver(std::uint32_t)
{
    if (m_drivers.size() >= maxDrivers)
        return;
    DriverOptions options;
    options.m_marginSteps = marginSteps;
    const ExpertMap map = ExpertMap::roundRobin(1, 4, rankCount, 2);
    m_drivers.push_back({MapChangeDriver(++m_fence, rankCount, map, options)});
}

void GateSimulation::pauseDriver(std::uint32_t choice)
{
    if (m_drivers.empty())
        return;
    Driver &driver = m_drivers[choice % m_drivers.size()];
    driver.m_paused = !driver.m_paused;
}

void GateSimulation::breakEngineCall(std::uint32_t choice)
{
    Engine &engine = *m_engines[choice % rankCount];
    engine.m_fault = static_cast<Engine::Fault>(1 + choice / rankCount % 5);
}

void GateSimulation::applyLateOrder(std::uint32_t choice)
{
    Engine &engine = *m_engines[choice % rankCount];
    if (engine.m_late)
        engine.apply(*engine.m_late);
    engine.m_late.reset();
}

bool GateSimulation::recovers()
{
    for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
        m_engines[rank]->m_fault = Engine::Fault::None;
        applyLateOrder(rank);
    }
    for (Driver &driver : m_drivers)
        driver.m_paused = true;
    const std::uint64_t stepsBefore = stepsBegun();
    const std::size_t changesBefore = m_liveChanges.size();
    m_drivers.clear(); // Messages of theirs that are on their way still arrive.
    for (int round = 0; round < recoveryRounds; ++round) {
        const bool idle =
            m_drivers.empty() || m_drivers.back().m_driver.state() == DriverState::Superseded;
        if (idle)
            startDriver(0);
        recoveryRound();
        if (!hasRecovered(stepsBefore, changesBefore))
            m_recoveryTime = (round + 2) * roundTime; // In the next round at the earliest.
    }
    return hasRecovered(stepsBefore, changesBefore);
}

bool GateSimulation::hasRecovered(std::uint64_t stepsBefore, std::size_t changesBefore) const
{
    return stepsBegun() > stepsBefore + marginSteps && m_liveChanges.size() > changesBefore
           && m_drivers.back().m_driver.state() == DriverState::Live;
}

void GateSimulation::recoveryRound()
{
    m_now += roundTime;
    for (std::uint32_t rank = 0; rank < rankCount; ++rank)
        tickAgent(rank);
    send(m_drivers.size() - 1, true, m_drivers.back().m_driver.tick(m_now, m_random));
    for (std::size_t left = m_network.size(); left > 0; --left)
        deliverOne(0);
    for (std::size_t left = m_network.size(); left > 0; --left)
        deliverOne(0);
    for (std::uint32_t rank = 0; rank < rankCount; ++rank)
        tryBegin(rank);
}

} // namespace burdockhead
