#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/routing/replicaannouncement.h>

#include <optional>
#include <unordered_map>

namespace burdockhead {

// The latest announcement of every endpoint's agent. A lower incarnation never replaces a
// higher one.
class ReplicaDirectory
{
public:
    // Takes an announcement; false when it is older than what is known.
    bool announce(const ReplicaAnnouncement &announcement);

    // The endpoint's agent as last announced.
    std::optional<ReplicaAnnouncement> find(const EndpointName &endpoint) const;

private:
    std::unordered_map<EndpointName, ReplicaAnnouncement> m_announcements;
};

} // namespace burdockhead
