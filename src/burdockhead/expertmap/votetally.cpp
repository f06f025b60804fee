#include <burdockhead/expertmap/votetally.h>

namespace burdockhead {

VoteTally::VoteTally(const MapChange &change, std::uint32_t rankCount)
    : m_change(change)
    , m_hasPromised(rankCount, false)
{}

void VoteTally::addVote(const SwitchVote &vote)
{
    if (vote.m_id != m_change.m_id || vote.m_rank >= m_hasPromised.size())
        return;
    if (!vote.m_isPromised) {
        m_isRefused = true;
        return;
    }
    if (!m_hasPromised[vote.m_rank])
        ++m_promiseCount;
    m_hasPromised[vote.m_rank] = true;
}

std::optional<bool> VoteTally::outcome() const
{
    if (m_isRefused)
        return false;
    if (!m_hasPromised.empty() && m_promiseCount == m_hasPromised.size())
        return true;
    return std::nullopt;
}

} // namespace burdockhead
