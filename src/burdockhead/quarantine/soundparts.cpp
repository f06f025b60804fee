#include <burdockhead/quarantine/soundparts.h>

namespace burdockhead {

namespace {

// About half a megabyte with the identifiers that callers send.
constexpr std::size_t maxParts = 4096;

} // namespace

void SoundParts::record(const PromptPart &part, TimePoint now)
{
    const auto found = m_byPart.find(part);
    if (found != m_byPart.end()) {
        found->second->m_at = now;
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return;
    }
    m_entries.push_front({part, now});
    m_byPart.emplace(part, m_entries.begin());
    if (m_entries.size() <= maxParts)
        return;
    m_byPart.erase(m_entries.back().m_part);
    m_entries.pop_back();
}

std::optional<TimePoint> SoundParts::lastAt(const PromptPart &part) const
{
    const auto found = m_byPart.find(part);
    return found == m_byPart.end() ? std::nullopt : std::optional(found->second->m_at);
}

} // namespace burdockhead
