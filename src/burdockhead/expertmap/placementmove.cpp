#include <burdockhead/expertmap/placementmove.h>

#include <algorithm>

namespace burdockhead {

std::size_t PlacementMove::expertsToLoad() const
{
    return static_cast<std::size_t>(
        std::count_if(m_changes.begin(), m_changes.end(),
                      [](const ReplicaChange &change) { return change.m_isAdded; }));
}

void applyMove(LayerPlacement &placement, const PlacementMove &move)
{
    for (const ReplicaChange &change : move.m_changes) {
        ExpertReplicas &replicas = placement[change.m_expert];
        const auto position = std::lower_bound(replicas.begin(), replicas.end(), change.m_rank);
        if (change.m_isAdded)
            replicas.insert(position, change.m_rank);
        else
            replicas.erase(position);
    }
}

} // namespace burdockhead
