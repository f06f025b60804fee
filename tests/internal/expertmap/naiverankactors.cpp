#include "rankactor.h"

namespace burdockhead {

namespace {

constexpr Milliseconds leaseDuration(300);

class AgentActor : public RankActor
{
public:
    AgentActor(std::uint32_t rank, std::uint32_t rankCount, StepEngine &engine)
        : m_agent(rank, rankCount, engine)
        , m_engine(engine)
    {}

    std::optional<MapChangeMessage> handleMessage(const MapChangeMessage &message,
                                                  TimePoint now) override
    {
        return m_agent.handleMessage(message, now);
    }

    std::vector<RankMessage> tick(TimePoint now) override { return m_agent.tick(now); }

protected:
    ExpertMapAgent m_agent;
    StepEngine &m_engine;
};

class ImmediateSwitchActor : public AgentActor
{
public:
    using AgentActor::AgentActor;

    std::optional<MapChangeMessage> handleMessage(const MapChangeMessage &message,
                                                  TimePoint now) override
    {
        const auto *prepare = std::get_if<PrepareSwitch>(&message);
        if (!prepare)
            return AgentActor::handleMessage(message, now);
        VoteRecord record = m_engine.read()->m_record;
        record.m_committedChange = prepare->m_change;
        ++record.m_sequence;
        m_engine.store(record);
        return std::nullopt;
    }
};

class LeaseActor : public AgentActor
{
public:
    using AgentActor::AgentActor;

    std::vector<RankMessage> tick(TimePoint now) override
    {
        VoteRecord record = m_engine.read()->m_record;
        if (record.m_promisedChange != m_leasedPromise) {
            m_leasedPromise = record.m_promisedChange;
            m_leaseEnd = now + leaseDuration;
        }
        if (record.m_promisedChange && now >= m_leaseEnd)
            withdrawPromise(record);
        return AgentActor::tick(now);
    }

private:
    void withdrawPromise(VoteRecord record)
    {
        ++record.m_sequence;
        m_engine.store(VotingRules::withdrawPromise(record));
    }

    std::optional<MapChange> m_leasedPromise;
    TimePoint m_leaseEnd;
};

} // namespace

std::unique_ptr<RankActor> makeAgent(std::uint32_t rank, std::uint32_t rankCount,
                                     StepEngine &engine)
{
    return std::make_unique<AgentActor>(rank, rankCount, engine);
}

std::unique_ptr<RankActor> makeImmediateSwitchAgent(std::uint32_t rank, std::uint32_t rankCount,
                                                    StepEngine &engine)
{
    return std::make_unique<ImmediateSwitchActor>(rank, rankCount, engine);
}

std::unique_ptr<RankActor> makeLeaseAgent(std::uint32_t rank, std::uint32_t rankCount,
                                          StepEngine &engine)
{
    return std::make_unique<LeaseActor>(rank, rankCount, engine);
}

std::unique_ptr<RankActor> makeForgettingAgent(std::uint32_t rank, std::uint32_t rankCount,
                                               StepEngine &engine)
{
    const auto state = engine.read();
    if (state) {
        VoteRecord record;
        record.m_committedChange = state->m_record.m_committedChange;
        record.m_sequence = state->m_record.m_sequence + 1;
        engine.store(record);
    }
    return std::make_unique<AgentActor>(rank, rankCount, engine);
}

} // namespace burdockhead
