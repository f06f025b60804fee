#pragma once

#include <burdockhead/routing/replica.h>

#include <array>
#include <cstdint>
#include <vector>

namespace burdockhead {

// Fixed-size hash table of the replicas that probably have a prefix cached, most recent first. A
// prefix that hashes to the slot of another replaces it.
class PrefixDirectory
{
public:
    static constexpr std::size_t holdersPerPrefix = 4;
    static constexpr ReplicaIndex noReplica = UINT32_MAX;
    using Holders = std::array<ReplicaIndex, holdersPerPrefix>;

    // Records that a replica has cached the prefix.
    void insert(std::uint64_t prefixHash, ReplicaIndex replica);

    // Records that a replica has evicted the prefix.
    void erase(std::uint64_t prefixHash, ReplicaIndex replica);

    // Returns the replicas that hold the prefix; unused elements are noReplica and come last.
    Holders holders(std::uint64_t prefixHash) const;

    // Removes all prefixes.
    void clear() { m_slots.clear(); }

private:
    static constexpr std::size_t slotCount = 8192;

    struct Slot
    {
        std::uint64_t m_prefixHash = 0;
        Holders m_holders{};
    };

    std::vector<Slot> m_slots; // Allocated with the first prefix.
};

} // namespace burdockhead
