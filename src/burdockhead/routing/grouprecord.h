#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/routing/homering.h>
#include <burdockhead/routing/replica.h>

#include <vector>

namespace burdockhead {

// A group with its configured replicas and the running means over their reports, which
// stand in for replicas that have none.
struct GroupRecord
{
    GroupName m_name;
    std::vector<ReplicaIndex> m_members; // Sorted by endpoint name.
    HomeRing m_ring;
    double m_meanOutstanding = 0;
    double m_meanLimit = 0;
    double m_meanServiceMicroseconds = 0;

    // Lets a report's figures move the means.
    void noteReport(const LoadReport &report);

    // Whether the replicas have, on the mean, no slot free.
    bool isCrowded() const { return m_meanLimit > 0 && m_meanOutstanding >= m_meanLimit; }
};

} // namespace burdockhead
