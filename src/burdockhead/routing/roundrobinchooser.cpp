#include <burdockhead/routing/roundrobinchooser.h>

namespace burdockhead {

std::optional<ReplicaIndex> RoundRobinChooser::choose(const ChoiceContext &context,
                                                      Random & /*random*/)
{
    std::vector<ReplicaIndex> replicas;
    context.forEachReplica([&replicas](ReplicaIndex index) { replicas.push_back(index); });
    for (std::size_t step = 0; step < replicas.size(); ++step) {
        const ReplicaIndex index = replicas[m_next++ % replicas.size()];
        if (context.permits(index))
            return index;
    }
    return std::nullopt;
}

} // namespace burdockhead
