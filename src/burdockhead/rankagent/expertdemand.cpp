#include <burdockhead/rankagent/expertdemand.h>

#include <cmath>
#include <numeric>

namespace burdockhead {

namespace {

// Weight of the loads so far at each new round; about the last ten rounds matter.
constexpr double decayPerRound = 0.9;
// Average counts per expert of a layer below which a round continues. This takes several prompts,
// since each prompt makes its own choice of experts.
constexpr double minCountsPerExpert = 2500;
// A shift is detected when the shifted share exceeds shiftFactor times its average plus
// shiftMargin. Chance alone moves about the average share, a shift several times as much.
constexpr double shiftFactor = 2;
constexpr double shiftMargin = 0.02;
// Average shifted share before any round, and the weight of one round in the moving average.
constexpr double initialAverageShare = 0.08;
constexpr double averageWeight = 0.15;

double total(const LayerLoads &layer)
{
    return std::accumulate(layer.begin(), layer.end(), 0.0);
}

// Share of the expert selections that two distributions place differently (total variation
// distance).
double distributionDistance(const LayerLoads &left, const LayerLoads &right)
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
    , m_currentRound(emptyLoads())
    , m_averageShare(initialAverageShare)
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
        m_currentRound.m_layers[index / m_experts][index % m_experts] +=
            static_cast<double>(counts.m_counts[index]);
}

bool ExpertDemand::endRound()
{
    const double minCounts = minCountsPerExpert * static_cast<double>(m_experts);
    if (m_layers == 0 || total(m_currentRound.m_layers.front()) < minCounts)
        return false;
    double distance = 0;
    for (std::size_t layer = 0; layer < m_layers; ++layer)
        distance += distributionDistance(m_loads.m_layers[layer], m_currentRound.m_layers[layer]);
    m_shiftedShare = distance / static_cast<double>(m_layers);
    const bool hasShifted = m_shiftedShare > shiftFactor * m_averageShare + shiftMargin;
    if (hasShifted)
        m_loads = emptyLoads();
    else if (m_shiftedShare > 0)
        m_averageShare += (m_shiftedShare - m_averageShare) * averageWeight;
    m_isStable = !hasShifted;
    for (std::size_t layer = 0; layer < m_layers; ++layer) {
        for (std::size_t expert = 0; expert < m_experts; ++expert) {
            double &load = m_loads.m_layers[layer][expert];
            load = load * decayPerRound + m_currentRound.m_layers[layer][expert];
        }
    }
    m_currentRound = emptyLoads();
    return hasShifted;
}

bool ExpertDemand::hasEnoughData() const
{
    return m_layers > 0 && m_isStable
           && total(m_loads.m_layers.front())
                  >= minCountsPerExpert * static_cast<double>(m_experts);
}

} // namespace burdockhead
