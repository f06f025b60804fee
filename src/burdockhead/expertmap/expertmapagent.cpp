#include <burdockhead/expertmap/expertmapagent.h>

#include <utility>

namespace burdockhead {

namespace {

// Coordinators normally send the outcome sooner; a vote request sent too early makes peers refuse.
constexpr Milliseconds coordinatorTimeout(500);

} // namespace

ExpertMapAgent::ExpertMapAgent(std::uint32_t rank, std::uint32_t rankCount, StepEngine &engine)
    : m_rank(rank)
    , m_rankCount(rankCount)
    , m_engine(engine)
{}

std::string ExpertMapAgent::handleBytes(const std::string &message, TimePoint now)
{
    const auto decoded = decodeMapChangeMessage(message);
    if (!decoded)
        return {};
    const auto reply = handleMessage(*decoded, now);
    return reply ? encodeMapChangeMessage(*reply) : std::string();
}

std::optional<MapChangeMessage> ExpertMapAgent::handleMessage(const MapChangeMessage &message,
                                                              TimePoint now)
{
    return std::visit([&](const auto &body) { return on(body, now); }, message);
}

std::vector<RankMessage> ExpertMapAgent::tick(TimePoint now)
{
    std::vector<RankMessage> requests;
    const auto state = readState();
    if (!state || !state->m_record.m_promisedChange)
        return requests;
    const MapChange &promise = *state->m_record.m_promisedChange;
    if (m_tally.change() != promise) {
        m_tally = VoteTally(promise, m_rankCount);
        m_tally.addVote({promise.m_id, m_rank, true});
        m_voteRequestsFrom = now + coordinatorTimeout;
    }
    if (const auto outcome = m_tally.outcome()) {
        applyOutcome(promise.m_id, *outcome);
        return requests;
    }
    if (now < m_voteRequestsFrom)
        return requests;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank) {
        if (m_tally.isMissing(rank))
            requests.push_back({rank, VoteRequest{promise}});
    }
    return requests;
}

ExpertMapAgent::Reply ExpertMapAgent::on(const RankStateRequest &, TimePoint)
{
    const auto state = readState();
    if (!state)
        return std::nullopt;
    return RankState{m_rank, state->m_nextStep, state->m_record.m_committedChange.m_version,
                     state->m_record.m_promisedChange.has_value(),
                     state->m_record.m_highestVotedId};
}

ExpertMapAgent::Reply ExpertMapAgent::on(const RankState &, TimePoint)
{
    return std::nullopt;
}

ExpertMapAgent::Reply ExpertMapAgent::on(const StageMap &message, TimePoint)
{
    const auto map = ExpertMap::decode(message.m_encodedMap);
    if (!map || !m_engine.stage(message.m_id, *map))
        return std::nullopt;
    m_lastStagedId = message.m_id;
    return MapStaged{message.m_id, m_rank};
}

ExpertMapAgent::Reply ExpertMapAgent::on(const MapStaged &, TimePoint)
{
    return std::nullopt;
}

ExpertMapAgent::Reply ExpertMapAgent::on(const PrepareSwitch &message, TimePoint)
{
    const MapChange &change = message.m_change;
    const auto state = readState();
    if (!state)
        return std::nullopt;
    const VoteContext context{state->m_nextStep, m_lastStagedId == change.m_id};
    return storeAndVote(VotingRules::prepare(state->m_record, change, context), change);
}

ExpertMapAgent::Reply ExpertMapAgent::on(const VoteRequest &message, TimePoint)
{
    const auto state = readState();
    if (!state)
        return std::nullopt;
    return storeAndVote(VotingRules::voteForOutcome(state->m_record, message.m_change),
                        message.m_change);
}

ExpertMapAgent::Reply ExpertMapAgent::on(const SwitchVote &message, TimePoint now)
{
    m_tally.addVote(message);
    if (m_tally.outcome())
        tick(now);
    return std::nullopt;
}

ExpertMapAgent::Reply ExpertMapAgent::on(const SwitchOutcome &message, TimePoint)
{
    applyOutcome(message.m_id, message.m_isCommitted);
    return std::nullopt;
}

std::optional<StepEngineState> ExpertMapAgent::readState()
{
    return withdrawLatePromise(m_engine.read());
}

std::optional<StepEngineState> ExpertMapAgent::storeRecord(const VoteRecord &record)
{
    return withdrawLatePromise(storeWithNextSequence(record));
}

std::optional<StepEngineState> ExpertMapAgent::storeWithNextSequence(VoteRecord record)
{
    ++record.m_sequence;
    return m_engine.store(record);
}

// Also handles a promise of a predecessor that crashed between storing the promise and this check.
std::optional<StepEngineState>
ExpertMapAgent::withdrawLatePromise(std::optional<StepEngineState> state)
{
    if (!state || !VotingRules::isPromiseLate(state->m_record, state->m_nextStep))
        return state;
    return storeWithNextSequence(VotingRules::withdrawPromise(state->m_record));
}

// Stores the record before returning the vote it implies; returns none if it was not stored.
ExpertMapAgent::Reply ExpertMapAgent::storeAndVote(const VoteResult &result,
                                                   const MapChange &change)
{
    const auto state = storeRecord(result.m_record);
    if (!state)
        return std::nullopt;
    // The stored record determines the vote, also when a late promise was withdrawn.
    const bool isPromised = VotingRules::voteForOutcome(state->m_record, change).m_isPromised;
    return SwitchVote{change.m_id, m_rank, isPromised};
}

void ExpertMapAgent::applyOutcome(const ChangeId &id, bool isCommitted)
{
    const auto state = readState();
    if (!state)
        return;
    const VoteRecord updated = VotingRules::applyOutcome(state->m_record, id, isCommitted);
    if (updated != state->m_record)
        storeRecord(updated);
}

} // namespace burdockhead
