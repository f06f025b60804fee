#include "rankactor.h"

namespace burdockhead {

namespace {

constexpr Milliseconds leaseTime(300);

class AgentActor : public RankActor
{
public:
    AgentActor(std::uint32_t rank, std::uint32_t rankCount, StepEngine &engine)
        : m_agent(rank, rankCount, engine)
        , m_engine(engine)
    {}

    std::optional<GateMessage> answer(const GateMessage &message, TimePoint now) override
    {
        return m_agent.answer(message, now);
    }

    std::vector<RankMessage> tick(TimePoint now) override { return m_agent.tick(now); }

protected:
    ExpertMapAgent m_agent;
    StepEngine &m_engine;
};

class SwitchAtOnceActor : public AgentActor
{
public:
    using AgentActor::AgentActor;

    std::optional<GateMessage> answer(const GateMessage &message, TimePoint now) override
    {
        const auto *prepare = std::get_if<PrepareSwitch>(&message);
        if (!prepare)
            return AgentActor::answer(message, now);
        GateRecord record = m_engine.read()->m_record;
        record.m_live = prepare->m_change;
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
        GateRecord record = m_engine.read()->m_record;
        if (record.m_promise != m_seen) {
            m_seen = record.m_promise;
            m_leaseEnd = now + leaseTime;
        }
        if (record.m_promise && now >= m_leaseEnd)
            withdraw(record);
        return AgentActor::tick(now);
    }

private:
    void withdraw(GateRecord record)
    {
        ++record.m_sequence;
        m_engine.store(RankGate::withdraw(record));
    }

    std::optional<MapChange> m_seen;
    TimePoint m_leaseEnd;
};

} // namespace

std::unique_ptr<RankActor> makeAgent(std::uint32_t rank, std::uint32_t rankCount,
                                     StepEngine &engine)
{
    return std::make_unique<AgentActor>(rank, rankCount, engine);
}

std::unique_ptr<RankActor> makeSwitchAtOnce(std::uint32_t rank, std::uint32_t rankCount,
                                            StepEngine &engine)
{
    return std::make_unique<SwitchAtOnceActor>(rank, rankCount, engine);
}

std::unique_ptr<RankActor> makeLeaseHolder(std::uint32_t rank, std::uint32_t rankCount,
                                           StepEngine &engine)
{
    return std::make_unique<LeaseActor>(rank, rankCount, engine);
}

std::unique_ptr<RankActor> makeForgetful(std::uint32_t rank, std::uint32_t rankCount,
                                         StepEngine &engine)
{
    const auto state = engine.read();
    if (state) {
        GateRecord record;
        record.m_live = state->m_record.m_live;
        record.m_sequence = state->m_record.m_sequence + 1;
        engine.store(record);
    }
    return std::make_unique<AgentActor>(rank, rankCount, engine);
}

} // namespace burdockhead
