#include <burdockhead/expertmap/expertpopularity.h>

#include <cmath>

namespace burdockhead {

ExpertPopularity::ExpertPopularity(std::size_t layers, std::size_t experts, Duration halfLife)
    : m_halfLife(halfLife)
    , m_loads{std::vector<LayerLoads>(layers, LayerLoads(experts, 0.0))}
{}

void ExpertPopularity::add(std::size_t layer, std::size_t expert, double tokens, TimePoint now)
{
    if (layer >= m_loads.m_layers.size() || expert >= m_loads.m_layers[layer].size())
        return;
    if (now > m_decayedAt)
        decay(now);
    m_loads.m_layers[layer][expert] += tokens;
}

void ExpertPopularity::decay(TimePoint now)
{
    const double halfLives = std::chrono::duration<double>(now - m_decayedAt).count()
                             / std::chrono::duration<double>(m_halfLife).count();
    const double factor = std::exp2(-halfLives);
    for (LayerLoads &layer : m_loads.m_layers) {
        for (double &load : layer)
            load *= factor;
    }
    m_decayedAt = now;
}

} // namespace burdockhead
