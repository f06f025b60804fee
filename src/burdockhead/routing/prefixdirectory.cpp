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
    if (m_slots.empty())
        m_slots.resize(slotCount, Slot{0, noHolders()});
    Slot &slot = m_slots[prefixHash % slotCount];
    if (slot.m_prefixHash != prefixHash)
        slot = {prefixHash, noHolders()};
    Holders &holders = slot.m_holders;
    auto position = std::find(holders.begin(), holders.end(), replica);
    if (position == holders.end())
        position = holders.end() - 1;
    std::move_backward(holders.begin(), position, position + 1);
    holders.front() = replica;
}

void PrefixDirectory::erase(std::uint64_t prefixHash, ReplicaIndex replica)
{
    if (m_slots.empty())
        return;
    Slot &slot = m_slots[prefixHash % slotCount];
    if (slot.m_prefixHash != prefixHash)
        return;
    const auto rest = std::remove(slot.m_holders.begin(), slot.m_holders.end(), replica);
    std::fill(rest, slot.m_holders.end(), noReplica);
}

PrefixDirectory::Holders PrefixDirectory::holders(std::uint64_t prefixHash) const
{
    if (m_slots.empty())
        return noHolders();
    const Slot &slot = m_slots[prefixHash % slotCount];
    return slot.m_prefixHash == prefixHash ? slot.m_holders : noHolders();
}

} // namespace burdockhead
