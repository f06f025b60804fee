#include <burdockhead/entry/replicadirectory.h>

namespace burdockhead {

bool ReplicaDirectory::applyAnnouncement(const ReplicaAnnouncement &announcement)
{
    ReplicaAnnouncement &latest = m_announcements[announcement.m_endpoint];
    if (announcement.m_incarnation < latest.m_incarnation)
        return false;
    latest = announcement;
    return true;
}

std::optional<ReplicaAnnouncement> ReplicaDirectory::find(const EndpointName &endpoint) const
{
    const auto found = m_announcements.find(endpoint);
    if (found == m_announcements.end())
        return std::nullopt;
    return found->second;
}

} // namespace burdockhead
