#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/expertmap/grouploads.h>

namespace burdockhead {

// How the popularity of experts changes through a run.
enum class Drift {
    Slow, // Each expert drifts by itself.
    Rush, // Some experts become much hotter for a quarter of the run.
    Flip, // In the middle the cold experts become the hot ones at once.
};

// The true popularity of a group's experts, period by period.
class DriftModel
{
public:
    DriftModel(Drift drift, std::size_t layers, std::size_t experts, std::size_t periods,
               std::uint64_t seed);

    // Goes on by one period.
    void advance();

    // The expected tokens of each expert in this period.
    const GroupLoads &loads() const { return m_loads; }

    // Tokens counted in this period, drawn around the expected ones.
    GroupLoads observe();

private:
    void compute();
    double rushFactor() const;
    void flip();

    Drift m_drift;
    std::size_t m_periods;
    std::size_t m_period = 0;
    Random m_random;
    std::vector<std::vector<double>> m_logWeights; // By layer and expert.
    std::vector<std::vector<bool>> m_inRush;
    GroupLoads m_loads;
};

} // namespace burdockhead
