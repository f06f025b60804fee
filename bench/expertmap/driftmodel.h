#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/expertmap/grouploads.h>

namespace burdockhead {

// Change of the popularity of experts during a run.
enum class Drift {
    Slow,  // Random walk of each expert.
    Surge, // Some experts are much more popular for a quarter of the run.
    Flip,  // At half of the run hot and cold experts are swapped abruptly.
};

// Simulated popularity of a group's experts in each period.
class DriftModel
{
public:
    DriftModel(Drift drift, std::size_t layers, std::size_t experts, std::size_t periodCount,
               std::uint64_t seed);

    // Advances by one period.
    void advance();

    // Returns the expected tokens of each expert in this period.
    const GroupLoads &loads() const { return m_loads; }

    // Returns random token counts of this period, distributed around the expected ones.
    GroupLoads observe();

private:
    void computeLoads();
    double surgeFactor() const;
    void flipPopularity();

    Drift m_drift;
    std::size_t m_periodCount;
    std::size_t m_period = 0;
    Random m_random;
    std::vector<std::vector<double>> m_logWeights; // By layer and expert.
    std::vector<std::vector<bool>> m_isInSurge;
    GroupLoads m_loads;
};

} // namespace burdockhead
