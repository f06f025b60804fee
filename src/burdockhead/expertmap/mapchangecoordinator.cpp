#include <burdockhead/expertmap/mapchangecoordinator.h>

#include <algorithm>
#include <array>
#include <utility>

namespace burdockhead {

MapChangeCoordinator::MapChangeCoordinator(std::uint64_t fence, std::uint32_t rankCount,
                                           ExpertMap map, const MapChangeOptions &options)
    : m_rankCount(rankCount)
    , m_map(std::move(map))
    , m_options(options)
    , m_id{fence, 1}
    , m_rankStates(rankCount)
    , m_isStaged(rankCount, false)
{}

std::vector<RankMessage> MapChangeCoordinator::tick(TimePoint now, Random &random)
{
    // In the order of MapChangeState.
    static constexpr std::array<StateHandler, 8> handlers = {
        &MapChangeCoordinator::queryRankStates,
        &MapChangeCoordinator::stageMap,
        &MapChangeCoordinator::chooseFirstStep,
        &MapChangeCoordinator::collectVotes,
        &MapChangeCoordinator::sendOutcome,
        &MapChangeCoordinator::backOff,
        &MapChangeCoordinator::idle,
        &MapChangeCoordinator::idle,
    };
    return (this->*handlers[static_cast<std::size_t>(m_state)])(now, random);
}

void MapChangeCoordinator::onReply(const MapChangeMessage &message, TimePoint)
{
    if (const auto *state = std::get_if<RankState>(&message))
        onRankState(*state);
    const auto *staged = std::get_if<MapStaged>(&message);
    if (staged && staged->m_id == m_id && staged->m_rank < m_rankCount)
        m_isStaged[staged->m_rank] = true;
    if (const auto *vote = std::get_if<SwitchVote>(&message))
        m_tally.addVote(*vote);
}

void MapChangeCoordinator::onRankState(const RankState &state)
{
    if (state.m_rank >= m_rankCount || state.m_isAwaitingOutcome)
        return;
    auto &lastState = m_rankStates[state.m_rank];
    if (!lastState || lastState->m_nextStep <= state.m_nextStep)
        lastState = state;
}

bool MapChangeCoordinator::hasAllRankStates() const
{
    return std::all_of(m_rankStates.begin(), m_rankStates.end(),
                       [](const auto &state) { return state.has_value(); });
}

bool MapChangeCoordinator::isSuperseded() const
{
    return std::any_of(m_rankStates.begin(), m_rankStates.end(), [this](const auto &state) {
        const bool isOtherMapCommitted =
            m_map.m_version > 0 && state->m_committedVersion >= m_map.m_version;
        return state->m_highestVotedId.m_fence > m_id.m_fence || isOtherMapCommitted;
    });
}

std::vector<RankMessage> MapChangeCoordinator::requestMissingStates() const
{
    Messages messages;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank) {
        if (!m_rankStates[rank])
            messages.push_back({rank, RankStateRequest()});
    }
    return messages;
}

std::vector<RankMessage> MapChangeCoordinator::messagesToAll(const MapChangeMessage &message) const
{
    Messages messages;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank)
        messages.push_back({rank, message});
    return messages;
}

std::vector<RankMessage> MapChangeCoordinator::queryRankStates(TimePoint, Random &)
{
    if (!hasAllRankStates())
        return requestMissingStates();
    if (isSuperseded()) {
        m_state = MapChangeState::Superseded;
        return {};
    }
    if (m_map.m_version == 0)
        m_map.m_version = m_rankStates.front()->m_committedVersion + 1;
    m_encodedMap = m_map.encode();
    m_state = MapChangeState::Staging;
    return messagesToAll(StageMap{m_id, m_encodedMap});
}

std::vector<RankMessage> MapChangeCoordinator::stageMap(TimePoint, Random &)
{
    Messages messages;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank) {
        if (!m_isStaged[rank])
            messages.push_back({rank, StageMap{m_id, m_encodedMap}});
    }
    if (!messages.empty())
        return messages;
    m_rankStates.assign(m_rankCount, std::nullopt);
    m_state = MapChangeState::ChoosingStep;
    return requestMissingStates();
}

std::vector<RankMessage> MapChangeCoordinator::chooseFirstStep(TimePoint now, Random &)
{
    if (!hasAllRankStates())
        return requestMissingStates();
    if (isSuperseded()) {
        m_state = MapChangeState::Superseded;
        return {};
    }
    std::uint64_t step = 0;
    for (const auto &state : m_rankStates)
        step = std::max(step, state->m_nextStep);
    const MapChange change{m_id, m_map.m_version - 1, m_map.m_version,
                           step + m_options.m_marginSteps};
    m_tally = VoteTally(change, m_rankCount);
    m_voteDeadline = now + m_options.m_voteTimeout;
    m_state = MapChangeState::CollectingVotes;
    return messagesToAll(PrepareSwitch{change});
}

std::vector<RankMessage> MapChangeCoordinator::collectVotes(TimePoint now, Random &)
{
    if (const auto outcome = m_tally.outcome()) {
        m_state = MapChangeState::SendingOutcome;
        return messagesToAll(SwitchOutcome{m_id, *outcome});
    }
    Messages messages;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank) {
        if (!m_tally.isMissing(rank))
            continue;
        if (now < m_voteDeadline)
            messages.push_back({rank, PrepareSwitch{m_tally.change()}});
        else
            messages.push_back({rank, VoteRequest{m_tally.change()}});
    }
    return messages;
}

std::vector<RankMessage> MapChangeCoordinator::sendOutcome(TimePoint now, Random &random)
{
    const bool isCommitted = *m_tally.outcome();
    m_state = isCommitted ? MapChangeState::Committed : MapChangeState::BackingOff;
    std::uniform_int_distribution<std::int64_t> delay(0, 2 * m_options.m_meanBackoff.count());
    m_nextAttemptAt = now + Milliseconds(delay(random));
    return messagesToAll(SwitchOutcome{m_id, isCommitted});
}

std::vector<RankMessage> MapChangeCoordinator::backOff(TimePoint now, Random &)
{
    if (now < m_nextAttemptAt)
        return {};
    ++m_id.m_attempt;
    m_rankStates.assign(m_rankCount, std::nullopt);
    m_isStaged.assign(m_rankCount, false);
    m_state = MapChangeState::QueryingStates;
    return requestMissingStates();
}

std::vector<RankMessage> MapChangeCoordinator::idle(TimePoint, Random &)
{
    return {};
}

} // namespace burdockhead
