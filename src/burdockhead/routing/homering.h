#pragma once

#include <burdockhead/routing/replica.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// A hash ring of a group's replicas. Entries that never talk to each other find the same
// home for a prefix on it.
class HomeRing
{
public:
    // Adds a replica; finish() must follow before the ring is read.
    void add(const EndpointName &name, ReplicaIndex replica);

    // Sorts the ring.
    void finish();

    // The replica that is `steps` places after the prefix's own place. The ring isn't empty.
    ReplicaIndex home(std::uint64_t prefixHash, std::size_t steps) const;

    // Number of places on the ring.
    std::size_t size() const { return m_points.size(); }

private:
    struct Point
    {
        std::uint64_t m_hash = 0;
        ReplicaIndex m_replica = 0;
    };

    std::vector<Point> m_points;
};

} // namespace burdockhead
