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
// How much more than usual must have moved to other experts between two rounds to show a shift,
// as a factor and a part of the choices: chance moves as much as usual, a shift several times.
constexpr double shiftFactor = 2;
constexpr double shiftMargin = 0.02;
// The usual part before anything is known, and how much one round moves it.
constexpr double firstUsualPart = 0.08;
constexpr double weightOfRound = 0.15;

double total(const LayerLoads &layer)
{
    return std::accumulate(layer.begin(), layer.end(), 0.0);
}

// The part of the choices that one layer makes differently from the other.
double partMoved(const LayerLoads &left, const LayerLoads &right)
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
    , m_usualPart(firstUsualPart)
{}

GroupLoads ExpertDemand::emptyLoads() const
{
    return {std::vector<LayerLoads>(m_layers, LayerLoads(m_experts, 0.0))};
}

void ExpertDemand::add(const ExpertCounts &counts)
{
    if (counts.m_counts.size() != m_layers * m_experts)
        return;
    for (std::size_t index = 0; index < counts.m_counts.size(); ++index)
        m_recent.m_layers[index / m_experts][index % m_experts] +=
            static_cast<double>(counts.m_counts[index]);
}

bool ExpertDemand::endRound()
{
    const double least = leastPerExpert * static_cast<double>(m_experts);
    if (m_layers == 0 || total(m_recent.m_layers.front()) < least)
        return false;
    double moved = 0;
    for (std::size_t layer = 0; layer < m_layers; ++layer)
        moved += partMoved(m_loads.m_layers[layer], m_recent.m_layers[layer]);
    m_movedPart = moved / static_cast<double>(m_layers);
    const bool hasShifted = m_movedPart > shiftFactor * m_usualPart + shiftMargin;
    if (hasShifted)
        m_loads = emptyLoads();
    else if (m_movedPart > 0)
        m_usualPart += (m_movedPart - m_usualPart) * weightOfRound;
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
