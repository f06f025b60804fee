#include <burdockhead/routing/prefixdirectory.h>

#include <algorithm>

namespace burdockhead {

namespace {

PrefixDirectory::Holders noHolders()
{
    PrefixDirectory::Holders holders{};
    holders.fill(PrefixDirectory::noReplica);
    return holders;
}

} // namespace

void PrefixDirectory::insert(std::uint64_t prefixHash, ReplicaIndex replica)
{
    if (m_places.empty())
        m_places.resize(placeCount, Place{0, noHolders()});
    Place &place = m_places[prefixHash % placeCount];
    if (place.m_prefixHash != prefixHash)
        place = {prefixHash, noHolders()};
    Holders &holders = place.m_holders;
    auto position = std::find(holders.begin(), holders.end(), replica);
    if (position == holders.end())
        position = holders.end() - 1;
    std::move_backward(holders.begin(), position, position + 1);
    holders.front() = replica;
}

void PrefixDirectory::erase(std::uint64_t prefixHash, ReplicaIndex replica)
{
    if (m_places.empty())
        return;
    Place &place = m_places[prefixHash % placeCount];
    if (place.m_prefixHash != prefixHash)
        return;
    const auto rest = std::remove(place.m_holders.begin(), place.m_holders.end(), replica);
    std::fill(rest, place.m_holders.end(), noReplica);
}

PrefixDirectory::Holders PrefixDirectory::holders(std::uint64_t prefixHash) const
{
    if (m_places.empty())
        return noHolders();
    const Place &place = m_places[prefixHash % placeCount];
    return place.m_prefixHash == prefixHash ? place.m_holders : noHolders();
}

} // namespace burdockhead
