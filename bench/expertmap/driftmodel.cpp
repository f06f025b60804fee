#include "driftmodel.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace burdockhead {

namespace {

constexpr double zipfExponent = 0.6;
constexpr double driftPerPeriod = 0.02; // Standard deviation, of the logarithm.
constexpr double rushStrength = 4;      // Times the usual popularity.
constexpr std::size_t rushExperts = 6;  // In each layer.
constexpr std::size_t rushRamp = 8;     // Periods to its height and back.
constexpr double tokensPerPeriod = 100'000;

} // namespace

DriftModel::DriftModel(Drift drift, std::size_t layers, std::size_t experts, std::size_t periods,
                       std::uint64_t seed)
    : m_drift(drift)
    , m_periods(periods)
    , m_random(seed)
{
    for (std::size_t layer = 0; layer < layers; ++layer) {
        std::vector<double> weights(experts);
        for (std::size_t expert = 0; expert < experts; ++expert)
            weights[expert] = -zipfExponent * std::log(static_cast<double>(expert + 1));
        std::shuffle(weights.begin(), weights.end(), m_random);
        m_logWeights.push_back(weights);
        std::vector<bool> inRush(experts, false);
        std::fill_n(inRush.begin(), std::min(rushExperts, experts), true);
        std::shuffle(inRush.begin(), inRush.end(), m_random);
        m_inRush.push_back(inRush);
    }
    compute();
}

void DriftModel::advance()
{
    ++m_period;
    std::normal_distribution<double> change(0, driftPerPeriod);
    for (auto &layer : m_logWeights) {
        for (double &weight : layer)
            weight += change(m_random);
    }
    if (m_drift == Drift::Flip && m_period == m_periods / 2)
        flip();
    compute();
}

GroupLoads DriftModel::observe()
{
    GroupLoads observed = m_loads;
    for (LayerLoads &layer : observed.m_layers) {
        for (double &load : layer) {
            std::normal_distribution<double> count(load, std::sqrt(load));
            load = std::max(0.0, std::round(count(m_random)));
        }
    }
    return observed;
}

// Rises from the first quarter of the run on and is over by the second.
double DriftModel::rushFactor() const
{
    if (m_drift != Drift::Rush)
        return 1;
    const auto period = static_cast<double>(m_period);
    const double begin = static_cast<double>(m_periods) / 4;
    const double end = static_cast<double>(m_periods) / 2;
    const double rise = std::min(period - begin, end - period) / static_cast<double>(rushRamp);
    return 1 + (rushStrength - 1) * std::clamp(rise, 0.0, 1.0);
}

void DriftModel::flip()
{
    for (auto &layer : m_logWeights) {
        const double sum = *std::max_element(layer.begin(), layer.end())
                           + *std::min_element(layer.begin(), layer.end());
        for (double &weight : layer)
            weight = sum - weight;
    }
}

void DriftModel::compute()
{
    const double factor = rushFactor();
    m_loads.m_layers.clear();
    for (std::size_t layer = 0; layer < m_logWeights.size(); ++layer) {
        LayerLoads loads;
        for (std::size_t expert = 0; expert < m_logWeights[layer].size(); ++expert) {
            const double weight = std::exp(m_logWeights[layer][expert]);
            loads.push_back(m_inRush[layer][expert] ? weight * factor : weight);
        }
        const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
        for (double &load : loads)
            load *= tokensPerPeriod / total;
        m_loads.m_layers.push_back(loads);
    }
}

} // namespace burdockhead
