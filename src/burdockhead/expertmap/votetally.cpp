#include <burdockhead/expertmap/votetally.h>

namespace burdockhead {

VoteTally::VoteTally(const MapChange &change, std::uint32_t rankCount)
    : m_change(change)
    , m_promised(rankCount, false)
{}

void VoteTally::note(const SwitchVote &vote)
{
    if (vote.m_id != m_change.m_id || vote.m_rank >= m_promised.size())
        return;
    if (!vote.m_promised) {
        m_refused = true;
        return;
    }
    if (!m_promised[vote.m_rank])
        ++m_promiseCount;
    m_promised[vote.m_rank] = true;
}

std::optional<bool> VoteTally::verdict() const
{
    if (m_refused)
        return false;
    if (!m_promised.empty() && m_promiseCount == m_promised.size())
        return true;
    return std::nullopt;
}

} // namespace burdockhead
