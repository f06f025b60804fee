#include "driftmodel.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace burdockhead {

namespace {

constexpr double zipfExponent = 0.6;
constexpr double driftPerPeriod = 0.02;     // Standard deviation of the logarithm.
constexpr double surgePeakFactor = 4;       // Factor on the baseline popularity.
constexpr std::size_t surgeExperts = 6;     // Per layer.
constexpr std::size_t surgeRampPeriods = 8; // Periods of the rise and of the fall.
constexpr double tokensPerPeriod = 100'000;

} // namespace

DriftModel::DriftModel(Drift drift, std::size_t layers, std::size_t experts,
                       std::size_t periodCount, std::uint64_t seed)
    : m_drift(drift)
    , m_periodCount(periodCount)
    , m_random(seed)
{
    for (std::size_t layer = 0; layer < layers; ++layer) {
        std::vector<double> weights(experts);
        for (std::size_t expert = 0; expert < experts; ++expert)
            weights[expert] = -zipfExponent * std::log(static_cast<double>(expert + 1));
        std::shuffle(weights.begin(), weights.end(), m_random);
        m_logWeights.push_back(weights);
        std::vector<bool> isInSurge(experts, false);
        std::fill_n(isInSurge.begin(), std::min(surgeExperts, experts), true);
        std::shuffle(isInSurge.begin(), isInSurge.end(), m_random);
        m_isInSurge.push_back(isInSurge);
    }
    computeLoads();
}

void DriftModel::advance()
{
    ++m_period;
    std::normal_distribution<double> change(0, driftPerPeriod);
    for (auto &layer : m_logWeights) {
        for (double &weight : layer)
            weight += change(m_random);
    }
    if (m_drift == Drift::Flip && m_period == m_periodCount / 2)
        flipPopularity();
    computeLoads();
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

// Rises from a quarter of the run on, and is back to 1 at half of the run.
double DriftModel::surgeFactor() const
{
    if (m_drift != Drift::Surge)
        return 1;
    const auto period = static_cast<double>(m_period);
    const double begin = static_cast<double>(m_periodCount) / 4;
    const double end = static_cast<double>(m_periodCount) / 2;
    const double rise =
        std::min(period - begin, end - period) / static_cast<double>(surgeRampPeriods);
    return 1 + (surgePeakFactor - 1) * std::clamp(rise, 0.0, 1.0);
}

void DriftModel::flipPopularity()
{
    for (auto &layer : m_logWeights) {
        const double sum = *std::max_element(layer.begin(), layer.end())
                           + *std::min_element(layer.begin(), layer.end());
        for (double &weight : layer)
            weight = sum - weight;
    }
}

void DriftModel::computeLoads()
{
    const double factor = surgeFactor();
    m_loads.m_layers.clear();
    for (std::size_t layer = 0; layer < m_logWeights.size(); ++layer) {
        LayerLoads loads;
        for (std::size_t expert = 0; expert < m_logWeights[layer].size(); ++expert) {
            const double weight = std::exp(m_logWeights[layer][expert]);
            loads.push_back(m_isInSurge[layer][expert] ? weight * factor : weight);
        }
        const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
        for (double &load : loads)
            load *= tokensPerPeriod / total;
        m_loads.m_layers.push_back(loads);
    }
}

} // namespace burdockhead
