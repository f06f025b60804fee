#include <burdockhead/gateway/departedendpoints.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Copies of the store are some seconds old; a copy older than this isn't expected.
constexpr Seconds memoryTime{600};
// Registrations that aren't renewed expire after three heartbeats, about four seconds.
constexpr Seconds expiryTime{5};
constexpr std::size_t maxRecords = 1024;

} // namespace

void DepartedEndpoints::record(const EndpointRun &endpoint, Departure departure, TimePoint at)
{
    const DepartureRecord departed = {departure, at};
    const auto [record, isNew] = m_records.try_emplace(endpoint, departed);
    if (!isNew && record->second.m_departure == Departure::Removed)
        record->second = departed;
    if (m_records.size() <= maxRecords)
        return;
    m_records.erase(std::min_element(
        m_records.begin(), m_records.end(),
        [](const auto &left, const auto &right) { return left.second.m_at < right.second.m_at; }));
}

void DepartedEndpoints::recordRegistered(const EndpointRun &endpoint, bool isRepeated)
{
    const auto found = m_records.find(endpoint);
    if (found != m_records.end()
        && !(isRepeated && found->second.m_departure == Departure::Leaving))
        m_records.erase(found);
}

bool DepartedEndpoints::isLeaving(const EndpointRun &endpoint) const
{
    const auto found = m_records.find(endpoint);
    return found != m_records.end() && found->second.m_departure == Departure::Leaving;
}

std::optional<TimePoint> DepartedEndpoints::heldBackUntil(const EndpointRun &endpoint,
                                                          TimePoint now) const
{
    const auto found = m_records.find(endpoint);
    if (found == m_records.end())
        return std::nullopt;
    return found->second.m_departure == Departure::Leaving ? TimePoint::max() : now + expiryTime;
}

void DepartedEndpoints::removeExpired(TimePoint now)
{
    std::erase_if(m_records,
                  [now](const auto &item) { return now - item.second.m_at > memoryTime; });
}

} // namespace burdockhead
