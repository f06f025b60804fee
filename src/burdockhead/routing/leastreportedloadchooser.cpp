#include <burdockhead/routing/leastreportedloadchooser.h>

namespace burdockhead {

std::optional<ReplicaIndex> LeastReportedLoadChooser::choose(const ChoiceContext &context,
                                                             Random & /*random*/)
{
    std::optional<ReplicaIndex> best;
    std::uint32_t lowest = 0;
    context.forEachReplica([&](ReplicaIndex index) {
        const LoadReport &report = context.table().replica(index).m_load.report();
        const std::uint32_t load = report.m_running + report.m_queued;
        if ((best && load >= lowest) || !context.permits(index))
            return;
        best = index;
        lowest = load;
    });
    return best;
}

} // namespace burdockhead
