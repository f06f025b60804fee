#include <burdockhead/expertmap/expertmapagent.h>

#include <utility>

namespace burdockhead {

namespace {

// A driver usually tells the verdict sooner; asking too early makes peers refuse.
constexpr Milliseconds timeForDriver(500);

} // namespace

ExpertMapAgent::ExpertMapAgent(std::uint32_t rank, std::uint32_t rankCount, StepEngine &engine)
    : m_rank(rank)
    , m_rankCount(rankCount)
    , m_engine(engine)
{}

std::string ExpertMapAgent::handle(const std::string &message, TimePoint now)
{
    const auto decoded = decodeGateMessage(message);
    if (!decoded)
        return {};
    const auto reply = answer(*decoded, now);
    return reply ? encodeGateMessage(*reply) : std::string();
}

std::optional<GateMessage> ExpertMapAgent::answer(const GateMessage &message, TimePoint now)
{
    return std::visit([&](const auto &body) { return on(body, now); }, message);
}

std::vector<RankMessage> ExpertMapAgent::tick(TimePoint now)
{
    std::vector<RankMessage> questions;
    const auto state = read();
    if (!state || !state->m_record.m_promise)
        return questions;
    const MapChange &promise = *state->m_record.m_promise;
    if (m_tally.change() != promise) {
        m_tally = VoteTally(promise, m_rankCount);
        m_tally.note({promise.m_id, m_rank, true});
        m_askFrom = now + timeForDriver;
    }
    if (const auto verdict = m_tally.verdict()) {
        resolve(promise.m_id, *verdict);
        return questions;
    }
    if (now < m_askFrom)
        return questions;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank) {
        if (m_tally.isMissing(rank))
            questions.push_back({rank, AskVote{promise}});
    }
    return questions;
}

ExpertMapAgent::Reply ExpertMapAgent::on(const AskRankState &, TimePoint)
{
    const auto state = read();
    if (!state)
        return std::nullopt;
    return RankState{m_rank, state->m_nextStep, state->m_record.m_live.m_version,
                     state->m_record.m_promise.has_value(), state->m_record.m_highest};
}

ExpertMapAgent::Reply ExpertMapAgent::on(const RankState &, TimePoint)
{
    return std::nullopt;
}

ExpertMapAgent::Reply ExpertMapAgent::on(const StageMap &message, TimePoint)
{
    const auto map = ExpertMap::decode(message.m_map);
    if (!map || !m_engine.stage(message.m_id, *map))
        return std::nullopt;
    m_staged = message.m_id;
    return MapStaged{message.m_id, m_rank};
}

ExpertMapAgent::Reply ExpertMapAgent::on(const MapStaged &, TimePoint)
{
    return std::nullopt;
}

ExpertMapAgent::Reply ExpertMapAgent::on(const PrepareSwitch &message, TimePoint)
{
    const MapChange &change = message.m_change;
    const auto state = read();
    if (!state)
        return std::nullopt;
    const VoteFacts facts{state->m_nextStep, m_staged == change.m_id};
    return send(RankGate::prepare(state->m_record, change, facts), change);
}

ExpertMapAgent::Reply ExpertMapAgent::on(const AskVote &message, TimePoint)
{
    const auto state = read();
    if (!state)
        return std::nullopt;
    return send(RankGate::vote(state->m_record, message.m_change), message.m_change);
}

ExpertMapAgent::Reply ExpertMapAgent::on(const SwitchVote &message, TimePoint now)
{
    m_tally.note(message);
    if (m_tally.verdict())
        tick(now);
    return std::nullopt;
}

ExpertMapAgent::Reply ExpertMapAgent::on(const SwitchVerdict &message, TimePoint)
{
    resolve(message.m_id, message.m_live);
    return std::nullopt;
}

std::optional<StepEngineState> ExpertMapAgent::read()
{
    return withoutLatePromise(m_engine.read());
}

std::optional<StepEngineState> ExpertMapAgent::store(const GateRecord &record)
{
    return withoutLatePromise(storeNext(record));
}

std::optional<StepEngineState> ExpertMapAgent::storeNext(GateRecord record)
{
    ++record.m_sequence;
    return m_engine.store(record);
}

// An agent that died between storing a promise and this check leaves it to the next one.
std::optional<StepEngineState>
ExpertMapAgent::withoutLatePromise(std::optional<StepEngineState> state)
{
    if (!state || !RankGate::isLate(state->m_record, state->m_nextStep))
        return state;
    return storeNext(RankGate::withdraw(state->m_record));
}

// Stores what a vote rests on and then gives the vote; gives none when storing failed.
ExpertMapAgent::Reply ExpertMapAgent::send(const GateDecision &decision, const MapChange &change)
{
    const auto state = store(decision.m_record);
    if (!state)
        return std::nullopt;
    // Once voted, the record alone tells the vote, also if the promise was late.
    const bool promised = RankGate::vote(state->m_record, change).m_promised;
    return SwitchVote{change.m_id, m_rank, promised};
}

void ExpertMapAgent::resolve(const ChangeId &id, bool live)
{
    const auto state = read();
    if (!state)
        return;
    const GateRecord resolved = RankGate::resolve(state->m_record, id, live);
    if (resolved != state->m_record)
        store(resolved);
}

} // namespace burdockhead
