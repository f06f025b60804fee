#include <burdockhead/quarantine/quarantinetable.h>

#include <algorithm>
#include <tuple>

namespace burdockhead {

namespace {

// Time from imposing a quarantine until a request is tried. Each trial may cost an endpoint, and a
// group of ranks some seconds of its service.
constexpr Seconds firstProbeDelay{60};
constexpr Seconds maxProbeDelay{24 * 3600};
constexpr int probeDelayFactor = 20;
constexpr std::size_t maxEntries = 1024;

Seconds probeDelay(unsigned level)
{
    Seconds delay = firstProbeDelay;
    for (unsigned step = 1; step < level && delay < maxProbeDelay; ++step)
        delay *= probeDelayFactor;
    return std::min(delay, maxProbeDelay);
}

} // namespace

QuarantineEntry QuarantineTable::impose(const PromptPart &part, std::size_t outages,
                                        const ProcessName &by, TimePoint now)
{
    QuarantineEntry &entry = m_entries[part];
    entry.m_part = part;
    ++entry.m_revision;
    entry.m_isActive = true;
    ++entry.m_level;
    entry.m_changedAt = now;
    entry.m_probeAt = now + probeDelay(entry.m_level);
    entry.m_outages += outages;
    entry.m_decidedBy = by;
    QuarantineEntry imposed = entry;
    removeExcess();
    return imposed;
}

std::optional<QuarantineEntry> QuarantineTable::lift(const PromptPart &part, const ProcessName &by,
                                                     TimePoint now)
{
    const auto found = m_entries.find(part);
    if (found == m_entries.end() || !found->second.m_isActive)
        return std::nullopt;
    QuarantineEntry &entry = found->second;
    ++entry.m_revision;
    entry.m_isActive = false;
    entry.m_level = 0;
    entry.m_changedAt = now;
    entry.m_outages = 0;
    entry.m_decidedBy = by;
    return entry;
}

// Of two changes of one revision, made by gateways that didn't know of each other, the one that
// keeps the part from endpoints is in force.
bool QuarantineTable::merge(const QuarantineEntry &entry)
{
    const auto rank = [](const QuarantineEntry &item) {
        return std::tuple(item.m_revision, item.m_isActive, item.m_level);
    };
    const auto [known, isNew] = m_entries.try_emplace(entry.m_part, entry);
    if (!isNew && rank(entry) <= rank(known->second))
        return false;
    known->second = entry;
    removeExcess();
    return true;
}

const QuarantineEntry *QuarantineTable::findActive(const PromptPart &part) const
{
    const auto found = m_entries.find(part);
    return found != m_entries.end() && found->second.m_isActive ? &found->second : nullptr;
}

std::size_t QuarantineTable::activeCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [](const auto &item) { return item.second.m_isActive; }));
}

// Forgets lifted quarantines first, then the oldest.
void QuarantineTable::removeExcess()
{
    while (m_entries.size() > maxEntries) {
        const auto oldest = std::min_element(
            m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
                return std::tuple(left.second.m_isActive, left.second.m_changedAt)
                       < std::tuple(right.second.m_isActive, right.second.m_changedAt);
            });
        m_entries.erase(oldest);
    }
}

} // namespace burdockhead
