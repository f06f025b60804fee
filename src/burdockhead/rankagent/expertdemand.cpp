#include <burdockhead/rankagent/expertdemand.h>

#include <numeric>

namespace burdockhead {

namespace {

// Demand shifts within seconds; half of it is from the last two.
constexpr Milliseconds halfLife{2000};
// Choices of an expert of one layer, on average, below which chance decides.
constexpr double leastPerExpert = 300;

} // namespace

ExpertDemand::ExpertDemand(std::size_t layers, std::size_t experts)
    : m_layers(layers)
    , m_experts(experts)
    , m_popularity(layers, experts, halfLife)
{}

void ExpertDemand::add(std::uint32_t rank, std::uint64_t startedAt, const ExpertCounts &counts,
                       TimePoint now)
{
    if (counts.m_counts.size() != m_layers * m_experts)
        return;
    Seen &seen = m_seen[rank];
    if (seen.m_startedAt != startedAt || seen.m_counts.size() != counts.m_counts.size())
        seen = {startedAt, std::vector<std::uint64_t>(counts.m_counts.size(), 0)};
    for (std::size_t index = 0; index < counts.m_counts.size(); ++index) {
        const std::uint64_t before = seen.m_counts[index];
        const std::uint64_t count = counts.m_counts[index];
        if (count > before)
            m_popularity.add(index / m_experts, index % m_experts,
                             static_cast<double>(count - before), now);
    }
    seen.m_counts = counts.m_counts;
}

bool ExpertDemand::isTelling() const
{
    if (loads().m_layers.empty())
        return false;
    const LayerLoads &layer = loads().m_layers.front();
    const double total = std::accumulate(layer.begin(), layer.end(), 0.0);
    return total >= leastPerExpert * static_cast<double>(m_experts);
}

} // namespace burdockhead
