#include "gatesimulation.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockhead {

namespace {

constexpr std::uint64_t marginSteps = 8;
constexpr Milliseconds roundDuration(100);
constexpr int recoveryRounds = 200;
constexpr std::size_t maxCoordinators = 6;
constexpr std::size_t maxMessagesInFlight = 12;

} // namespace

// In-memory engine with injectable faults.
class GateSimulation::Engine : public StepEngine
{
public:
    Engine(GateSimulation &simulation, bool checksSequence)
        : m_simulation(simulation)
        , m_checksSequence(checksSequence)
    {}

    std::optional<StepEngineState> read() override { return m_state; }

    std::optional<StepEngineState> store(const VoteRecord &record) override
    {
        const Fault fault = std::exchange(m_fault, Fault::None);
        if (fault == Fault::NotApplied)
            return std::nullopt;
        if (fault == Fault::StepsBeforeStore) {
            for (std::uint64_t step = 0; step < 2 * marginSteps; ++step)
                for (std::uint32_t rank = 0; rank < rankCount; ++rank)
                    m_simulation.tryBeginStep(rank);
        }
        if (fault == Fault::AppliedLater) {
            m_delayedRecord = record;
            return std::nullopt;
        }
        if (!apply(record))
            return std::nullopt;
        if (fault == Fault::AgentCrashes)
            throw AgentCrash();
        if (fault == Fault::ReplyLost)
            return std::nullopt;
        return m_state;
    }

    bool stage(const ChangeId &, const ExpertMap &) override { return true; }

    bool apply(const VoteRecord &record)
    {
        if (m_checksSequence && record.m_sequence <= m_state.m_record.m_sequence)
            return false;
        m_state.m_record = record;
        return true;
    }

    bool mayBeginStep() const
    {
        const std::uint64_t limit = m_state.m_record.stepLimit();
        return limit == 0 || m_state.m_nextStep < limit;
    }

    enum class Fault {
        None,
        NotApplied,
        ReplyLost,
        AgentCrashes,
        StepsBeforeStore,
        AppliedLater,
    };

    StepEngineState m_state;
    Fault m_fault = Fault::None;
    std::optional<VoteRecord> m_delayedRecord; // A delayed order.

private:
    GateSimulation &m_simulation;
    bool m_checksSequence;
};

GateSimulation::GateSimulation(RankActorFactory factory, bool enginesCheckSequence)
    : m_factory(factory)
    , m_random(1)
{
    for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
        m_engines.push_back(std::make_unique<Engine>(*this, enginesCheckSequence));
        m_actors.push_back(factory(rank, rankCount, *m_engines[rank]));
    }
}

GateSimulation::~GateSimulation() = default;

void GateSimulation::apply(std::uint32_t choice)
{
    struct WeightedEvent
    {
        std::uint32_t m_weight;
        Event m_event;
    };
    static constexpr std::array<WeightedEvent, 12> events = {{
        {1200, &GateSimulation::deliverOne},
        {200, &GateSimulation::tickCoordinator},
        {200, &GateSimulation::tickAgent},
        {300, &GateSimulation::beginStep},
        {50, &GateSimulation::advanceTime},
        {50, &GateSimulation::dropOne},
        {50, &GateSimulation::duplicateOne},
        {40, &GateSimulation::restartAgent},
        {40, &GateSimulation::injectEngineFault},
        {10, &GateSimulation::startCoordinator},
        {10, &GateSimulation::pauseCoordinator},
        {20, &GateSimulation::applyDelayedOrder},
    }};
    constexpr std::uint32_t totalWeight = 2170;
    std::uint32_t offset = choice % totalWeight;
    for (const WeightedEvent &event : events) {
        if (offset < event.m_weight) {
            (this->*event.m_event)(choice / totalWeight);
            return;
        }
        offset -= event.m_weight;
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

void GateSimulation::duplicateOne(std::uint32_t choice)
{
    if (!m_network.empty())
        m_network.push_back(Packet(m_network[choice % m_network.size()]));
}

void GateSimulation::deliver(const Packet &packet)
{
    if (!packet.m_isToCoordinator)
        deliverToRank(packet);
    else if (packet.m_to < m_coordinators.size())
        m_coordinators[packet.m_to].m_coordinator.onReply(packet.m_message, m_now);
}

void GateSimulation::deliverToRank(const Packet &packet)
{
    std::optional<MapChangeMessage> reply;
    try {
        reply = m_actors[packet.m_to]->handleMessage(packet.m_message, m_now);
    } catch (const AgentCrash &) {
        restartAgent(static_cast<std::uint32_t>(packet.m_to));
    }
    if (reply)
        m_network.push_back(
            {packet.m_isFromCoordinator, packet.m_to, packet.m_from, false, *reply});
}

// Drops random messages above a limit, so that those left are mostly recent.
void GateSimulation::send(std::size_t from, bool isFromCoordinator,
                          const std::vector<RankMessage> &messages)
{
    for (const RankMessage &message : messages)
        m_network.push_back({false, from, message.m_rank, isFromCoordinator, message.m_message});
    while (m_network.size() > maxMessagesInFlight)
        m_network.erase(m_network.begin()
                        + static_cast<std::ptrdiff_t>(m_random() % maxMessagesInFlight));
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

void GateSimulation::tickCoordinator(std::uint32_t choice)
{
    if (m_coordinators.empty())
        startCoordinator(choice);
    const std::size_t index = choice % m_coordinators.size();
    if (!m_coordinators[index].m_isPaused)
        send(index, true, m_coordinators[index].m_coordinator.tick(m_now, m_random));
}

void GateSimulation::beginStep(std::uint32_t choice)
{
    tryBeginStep(choice % rankCount);
}

// Ranks run in lockstep: no rank begins a step before all have begun the previous one.
void GateSimulation::tryBeginStep(std::uint32_t rank)
{
    Engine &engine = *m_engines[rank];
    const std::uint64_t step = engine.m_state.m_nextStep;
    const bool haveOthersBegun =
        std::all_of(m_engines.begin(), m_engines.end(),
                    [&](const auto &other) { return other->m_state.m_nextStep >= step; });
    if (!haveOthersBegun || !engine.mayBeginStep())
        return;
    ++engine.m_state.m_nextStep;
    recordStep(rank, step);
}

void GateSimulation::recordStep(std::uint32_t rank, std::uint64_t step)
{
    const VoteRecord &record = m_engines[rank]->m_state.m_record;
    const std::uint64_t version = record.versionAt(step);
    const auto [position, isNew] = m_versions.emplace(step, version);
    if (position->second != version)
        m_hasViolation = true;
    if (position != m_versions.begin() && std::prev(position)->second > version)
        m_hasViolation = true;
    if (record.m_committedChange.m_version > 0 && step >= record.m_committedChange.m_firstStep)
        m_effectiveChanges.insert(record.m_committedChange.m_id);
}

void GateSimulation::advanceTime(std::uint32_t choice)
{
    m_now += Milliseconds(choice % 400);
}

void GateSimulation::restartAgent(std::uint32_t choice)
{
    const std::uint32_t rank = choice % rankCount;
    m_engines[rank]->m_fault = Engine::Fault::None;
    m_actors[rank] = m_factory(rank, rankCount, *m_engines[rank]);
}

void GateSimulation::startCoordinator(std::uint32_t)
{
    if (m_coordinators.size() >= maxCoordinators)
        return;
    MapChangeOptions options;
    options.m_marginSteps = marginSteps;
    const ExpertMap map = ExpertMap::roundRobin(1, 4, rankCount, 2);
    m_coordinators.push_back({MapChangeCoordinator(++m_fence, rankCount, map, options)});
}

void GateSimulation::pauseCoordinator(std::uint32_t choice)
{
    if (m_coordinators.empty())
        return;
    Coordinator &coordinator = m_coordinators[choice % m_coordinators.size()];
    coordinator.m_isPaused = !coordinator.m_isPaused;
}

void GateSimulation::injectEngineFault(std::uint32_t choice)
{
    Engine &engine = *m_engines[choice % rankCount];
    engine.m_fault = static_cast<Engine::Fault>(1 + choice / rankCount % 5);
}

void GateSimulation::applyDelayedOrder(std::uint32_t choice)
{
    Engine &engine = *m_engines[choice % rankCount];
    if (engine.m_delayedRecord)
        engine.apply(*engine.m_delayedRecord);
    engine.m_delayedRecord.reset();
}

bool GateSimulation::recover()
{
    for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
        m_engines[rank]->m_fault = Engine::Fault::None;
        applyDelayedOrder(rank);
    }
    for (Coordinator &coordinator : m_coordinators)
        coordinator.m_isPaused = true;
    const std::uint64_t stepsBefore = stepCount();
    const std::size_t changesBefore = m_effectiveChanges.size();
    m_coordinators.clear(); // Their messages in flight are still delivered.
    for (int round = 0; round < recoveryRounds; ++round) {
        const bool needsCoordinator =
            m_coordinators.empty()
            || m_coordinators.back().m_coordinator.state() == MapChangeState::Superseded;
        if (needsCoordinator)
            startCoordinator(0);
        recoveryRound();
        if (!hasRecovered(stepsBefore, changesBefore))
            m_recoveryTime = (round + 2) * roundDuration; // In the next round at the earliest.
    }
    return hasRecovered(stepsBefore, changesBefore);
}

bool GateSimulation::hasRecovered(std::uint64_t stepsBefore, std::size_t changesBefore) const
{
    return stepCount() > stepsBefore + marginSteps && m_effectiveChanges.size() > changesBefore
           && m_coordinators.back().m_coordinator.state() == MapChangeState::Committed;
}

void GateSimulation::recoveryRound()
{
    m_now += roundDuration;
    for (std::uint32_t rank = 0; rank < rankCount; ++rank)
        tickAgent(rank);
    send(m_coordinators.size() - 1, true,
         m_coordinators.back().m_coordinator.tick(m_now, m_random));
    for (std::size_t remaining = m_network.size(); remaining > 0; --remaining)
        deliverOne(0);
    for (std::size_t remaining = m_network.size(); remaining > 0; --remaining)
        deliverOne(0);
    for (std::uint32_t rank = 0; rank < rankCount; ++rank)
        tryBeginStep(rank);
}

} // namespace burdockhead
