#include <burdockhead/rankagent/expertdemand.h>

#include <cmath>
#include <numeric>

namespace burdockhead {

namespace {

// What an earlier round counts for against the next one; the last ten rounds or so count.
constexpr double keptPerRound = 0.9;
// Counts for each expert of a layer, on average, below which a round waits for the next one:
// some prompts' worth, as each prompt has its own choice.
constexpr double leastPerExpert = 2500;
// The part of a layer's choices that must have moved to other experts to show a shift; shifts
// move a third or more, chance about a tenth.
constexpr double shiftedPart = 0.2;

double total(const LayerLoads &layer)
{
    return std::accumulate(layer.begin(), layer.end(), 0.0);
}

// The part of the choices that one layer makes differently from the other.
double movedPart(const LayerLoads &left, const LayerLoads &right)
{
    const double leftTotal = total(left);
    const double rightTotal = total(right);
    if (leftTotal <= 0 || rightTotal <= 0)
        return 0;
    double difference = 0;
    for (std::size_t expert = 0; expert < left.size(); ++expert)
        difference += std::abs(left[expert] / leftTotal - right[expert] / rightTotal);
    return difference / 2;
}

} // namespace

ExpertDemand::ExpertDemand(std::size_t layers, std::size_t experts)
    : m_layers(layers)
    , m_experts(experts)
    , m_loads(emptyLoads())
    , m_recent(emptyLoads())
{}

GroupLoads ExpertDemand::emptyLoads() const
{
    return {std::vector<LayerLoads>(m_layers, LayerLoads(m_experts, 0.0))};
}

void ExpertDemand::add(std::uint32_t rank, std::uint64_t startedAt, const ExpertCounts &counts)
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
            m_recent.m_layers[index / m_experts][index % m_experts] +=
                static_cast<double>(count - before);
    }
    seen.m_counts = counts.m_counts;
}

bool ExpertDemand::endRound()
{
    const double least = leastPerExpert * static_cast<double>(m_experts);
    if (m_layers == 0 || total(m_recent.m_layers.front()) < least)
        return false;
    double moved = 0;
    for (std::size_t layer = 0; layer < m_layers; ++layer)
        moved += movedPart(m_loads.m_layers[layer], m_recent.m_layers[layer]);
    const bool hasShifted = moved / static_cast<double>(m_layers) > shiftedPart;
    if (hasShifted)
        m_loads = emptyLoads();
    m_isSettled = !hasShifted;
    for (std::size_t layer = 0; layer < m_layers; ++layer) {
        for (std::size_t expert = 0; expert < m_experts; ++expert) {
            double &load = m_loads.m_layers[layer][expert];
            load = load * keptPerRound + m_recent.m_layers[layer][expert];
        }
    }
    m_recent = emptyLoads();
    return hasShifted;
}

bool ExpertDemand::isTelling() const
{
    return m_layers > 0 && m_isSettled
           && total(m_loads.m_layers.front()) >= leastPerExpert * static_cast<double>(m_experts);
}

} // namespace burdockhead
