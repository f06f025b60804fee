#include <burdockhead/expertmap/mapchangedriver.h>

#include <algorithm>
#include <array>
#include <utility>

namespace burdockhead {

MapChangeDriver::MapChangeDriver(std::uint64_t fence, std::uint32_t rankCount, ExpertMap map,
                                 const DriverOptions &options)
    : m_rankCount(rankCount)
    , m_map(std::move(map))
    , m_options(options)
    , m_id{fence, 1}
    , m_rankStates(rankCount)
    , m_staged(rankCount, false)
{}

std::vector<RankMessage> MapChangeDriver::tick(TimePoint now, Random &random)
{
    // In the order of DriverState.
    static constexpr std::array<Phase, 8> phases = {
        &MapChangeDriver::ask,     &MapChangeDriver::stage, &MapChangeDriver::time,
        &MapChangeDriver::prepare, &MapChangeDriver::tell,  &MapChangeDriver::backOff,
        &MapChangeDriver::rest,    &MapChangeDriver::rest,
    };
    return (this->*phases[static_cast<std::size_t>(m_state)])(now, random);
}

void MapChangeDriver::note(const GateMessage &message, TimePoint)
{
    if (const auto *state = std::get_if<RankState>(&message))
        noteState(*state);
    const auto *staged = std::get_if<MapStaged>(&message);
    if (staged && staged->m_id == m_id && staged->m_rank < m_rankCount)
        m_staged[staged->m_rank] = true;
    if (const auto *vote = std::get_if<SwitchVote>(&message))
        m_tally.note(*vote);
}

void MapChangeDriver::noteState(const RankState &state)
{
    if (state.m_rank >= m_rankCount || state.m_waiting)
        return;
    auto &known = m_rankStates[state.m_rank];
    if (!known || known->m_nextStep <= state.m_nextStep)
        known = state;
}

bool MapChangeDriver::allKnown() const
{
    return std::all_of(m_rankStates.begin(), m_rankStates.end(),
                       [](const auto &state) { return state.has_value(); });
}

bool MapChangeDriver::isSuperseded() const
{
    return std::any_of(m_rankStates.begin(), m_rankStates.end(), [this](const auto &state) {
        const bool otherMap = m_map.m_version > 0 && state->m_version >= m_map.m_version;
        return state->m_highest.m_fence > m_id.m_fence || otherMap;
    });
}

std::vector<RankMessage> MapChangeDriver::askMissing() const
{
    Messages messages;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank) {
        if (!m_rankStates[rank])
            messages.push_back({rank, AskRankState()});
    }
    return messages;
}

std::vector<RankMessage> MapChangeDriver::toAll(const GateMessage &message) const
{
    Messages messages;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank)
        messages.push_back({rank, message});
    return messages;
}

std::vector<RankMessage> MapChangeDriver::ask(TimePoint, Random &)
{
    if (!allKnown())
        return askMissing();
    if (isSuperseded()) {
        m_state = DriverState::Superseded;
        return {};
    }
    if (m_map.m_version == 0)
        m_map.m_version = m_rankStates.front()->m_version + 1;
    m_encodedMap = m_map.encode();
    m_state = DriverState::Staging;
    return toAll(StageMap{m_id, m_encodedMap});
}

std::vector<RankMessage> MapChangeDriver::stage(TimePoint, Random &)
{
    Messages messages;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank) {
        if (!m_staged[rank])
            messages.push_back({rank, StageMap{m_id, m_encodedMap}});
    }
    if (!messages.empty())
        return messages;
    m_rankStates.assign(m_rankCount, std::nullopt);
    m_state = DriverState::Timing;
    return askMissing();
}

std::vector<RankMessage> MapChangeDriver::time(TimePoint now, Random &)
{
    if (!allKnown())
        return askMissing();
    if (isSuperseded()) {
        m_state = DriverState::Superseded;
        return {};
    }
    std::uint64_t step = 0;
    for (const auto &state : m_rankStates)
        step = std::max(step, state->m_nextStep);
    const MapChange change{m_id, m_map.m_version - 1, m_map.m_version,
                           step + m_options.m_marginSteps};
    m_tally = VoteTally(change, m_rankCount);
    m_voteDeadline = now + m_options.m_voteTime;
    m_state = DriverState::Preparing;
    return toAll(PrepareSwitch{change});
}

std::vector<RankMessage> MapChangeDriver::prepare(TimePoint now, Random &)
{
    if (const auto verdict = m_tally.verdict()) {
        m_state = DriverState::Telling;
        return toAll(SwitchVerdict{m_id, *verdict});
    }
    Messages messages;
    for (std::uint32_t rank = 0; rank < m_rankCount; ++rank) {
        if (!m_tally.isMissing(rank))
            continue;
        if (now < m_voteDeadline)
            messages.push_back({rank, PrepareSwitch{m_tally.change()}});
        else
            messages.push_back({rank, AskVote{m_tally.change()}});
    }
    return messages;
}

std::vector<RankMessage> MapChangeDriver::tell(TimePoint now, Random &random)
{
    const bool live = *m_tally.verdict();
    m_state = live ? DriverState::Live : DriverState::BackingOff;
    std::uniform_int_distribution<std::int64_t> wait(0, 2 * m_options.m_backoff.count());
    m_resumeAt = now + Milliseconds(wait(random));
    return toAll(SwitchVerdict{m_id, live});
}

std::vector<RankMessage> MapChangeDriver::backOff(TimePoint now, Random &)
{
    if (now < m_resumeAt)
        return {};
    ++m_id.m_attempt;
    m_rankStates.assign(m_rankCount, std::nullopt);
    m_staged.assign(m_rankCount, false);
    m_state = DriverState::Asking;
    return askMissing();
}

std::vector<RankMessage> MapChangeDriver::rest(TimePoint, Random &)
{
    return {};
}

} // namespace burdockhead
