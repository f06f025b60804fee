#include <burdockhead/idempotency/issuerfloors.h>

#include <algorithm>

namespace burdockhead {

IssuerFloors::IssuerFloors(std::size_t limit, Duration retention)
    : m_limit(limit)
    , m_retention(retention)
{}

void IssuerFloors::raise(std::uint64_t issuer, std::uint64_t number, TimePoint now)
{
    Floor &floor = m_floors[issuer];
    floor.m_number = std::max(floor.m_number, number);
    floor.m_keptUntil = now + m_retention;
}

bool IssuerFloors::mayBeForgotten(std::uint64_t issuer, std::uint64_t number) const
{
    const auto found = m_floors.find(issuer);
    return found != m_floors.end() && number <= found->second.m_number;
}

bool IssuerFloors::hasRoomFor(std::uint64_t issuer, TimePoint now)
{
    if (m_floors.size() < m_limit || m_floors.contains(issuer))
        return true;
    std::erase_if(m_floors, [now](const auto &item) { return item.second.m_keptUntil < now; });
    return m_floors.size() < m_limit;
}

} // namespace burdockhead
