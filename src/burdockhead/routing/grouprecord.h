#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/routing/consistenthashring.h>
#include <burdockhead/routing/replica.h>

#include <vector>

namespace burdockhead {

// A group, its configured replicas, and exponential moving averages over their load reports. The
// averages are used for replicas without a report.
struct GroupRecord
{
    GroupName m_name;
    std::vector<ReplicaIndex> m_members; // Sorted by endpoint name.
    ConsistentHashRing m_ring;
    double m_averageOutstanding = 0;
    double m_averageLimit = 0;
    double m_averageServiceMicroseconds = 0;

    // Updates the averages with a report.
    void recordReport(const LoadReport &report);

    // Returns whether the average replica has no free slot.
    bool isSaturated() const
    {
        return m_averageLimit > 0 && m_averageOutstanding >= m_averageLimit;
    }
};

} // namespace burdockhead
