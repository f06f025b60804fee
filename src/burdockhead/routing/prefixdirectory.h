#pragma once

#include <burdockhead/routing/replica.h>

#include <array>
#include <cstdint>
#include <vector>

namespace burdockhead {

// Which replicas probably hold a prefix, the latest first. Of fixed size: a prefix that
// falls on the place of another one replaces it.
class PrefixDirectory
{
public:
    static constexpr std::size_t holdersPerPrefix = 4;
    static constexpr ReplicaIndex noReplica = UINT32_MAX;
    using Holders = std::array<ReplicaIndex, holdersPerPrefix>;

    // Notes that a replica holds the prefix.
    void insert(std::uint64_t prefixHash, ReplicaIndex replica);

    // Notes that a replica no longer holds the prefix.
    void erase(std::uint64_t prefixHash, ReplicaIndex replica);

    // The prefix's holders; places without one have noReplica and come last.
    Holders holders(std::uint64_t prefixHash) const;

    // Forgets everything.
    void clear() { m_places.clear(); }

private:
    static constexpr std::size_t placeCount = 8192;

    struct Place
    {
        std::uint64_t m_prefixHash = 0;
        Holders m_holders{};
    };

    std::vector<Place> m_places; // Allocated with the first prefix.
};

} // namespace burdockhead
