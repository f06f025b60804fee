#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/routing/replicaannouncement.h>

#include <optional>
#include <unordered_map>

namespace burdockhead {

// Keeps the latest announcement of each endpoint's agent. An announcement of a lower
// incarnation never replaces one of a higher incarnation.
class ReplicaDirectory
{
public:
    // Stores the announcement. Returns false when its incarnation is lower than the stored one.
    bool applyAnnouncement(const ReplicaAnnouncement &announcement);

    // Returns the latest announcement of the endpoint's agent.
    std::optional<ReplicaAnnouncement> find(const EndpointName &endpoint) const;

private:
    std::unordered_map<EndpointName, ReplicaAnnouncement> m_announcements;
};

} // namespace burdockhead
