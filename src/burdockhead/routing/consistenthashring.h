#pragma once

#include <burdockhead/routing/replica.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// Consistent-hash ring of a group's replicas. Entries map a prefix to the same replica without
// communicating.
class ConsistentHashRing
{
public:
    // Adds a replica; sortPoints() must be called before the ring is read.
    void add(const EndpointName &name, ReplicaIndex replica);

    // Sorts the points by hash.
    void sortPoints();

    // Returns the replica `steps` points after the prefix's position. The ring must not be empty.
    ReplicaIndex replicaAt(std::uint64_t prefixHash, std::size_t steps) const;

    // Returns the number of points on the ring.
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
