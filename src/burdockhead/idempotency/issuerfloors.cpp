#include <burdockhead/idempotency/issuerfloors.h>

#include <algorithm>

namespace burdockhead {

IssuerFloors::IssuerFloors(std::size_t limit)
    : m_limit(limit)
{}

void IssuerFloors::raise(std::uint64_t issuer, std::uint64_t number)
{
    std::uint64_t &floor = m_floors[issuer];
    floor = std::max(floor, number);
}

bool IssuerFloors::mayBeForgotten(std::uint64_t issuer, std::uint64_t number) const
{
    const auto found = m_floors.find(issuer);
    return found != m_floors.end() && number <= found->second;
}

bool IssuerFloors::hasRoomFor(std::uint64_t issuer) const
{
    return m_floors.size() < m_limit || m_floors.contains(issuer);
}

} // namespace burdockhead
