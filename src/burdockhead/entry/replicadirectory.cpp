#include <burdockhead/entry/replicadirectory.h>

namespace burdockhead {

bool ReplicaDirectory::announce(const ReplicaAnnouncement &announcement)
{
    ReplicaAnnouncement &known = m_announcements[announcement.m_endpoint];
    if (announcement.m_incarnation < known.m_incarnation)
        return false;
    known = announcement;
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
