#include <burdockhead/expertmap/bruteforce.h>

#include <algorithm>
#include <bit>
#include <limits>
#include <numeric>

namespace burdockhead {

namespace {

// Exhaustive search over all placements; the experts on a rank are a bit mask.
class PlacementSearch
{
public:
    PlacementSearch(const LayerLoads &loads, const GroupShape &shape)
        : m_loads(loads)
        , m_rankContents(shape.m_rankCount, 0)
        , m_replicaCounts(loads.size(), 0)
    {
        for (std::uint32_t bits = 0; bits < (1U << loads.size()); ++bits) {
            if (std::popcount(bits) <= static_cast<int>(shape.m_slotsPerRank))
                m_possibleContents.push_back(bits);
        }
    }

    double findLowestMaxLoad()
    {
        tryContentsFrom(0, 0);
        return m_lowestMaxLoad;
    }

private:
    // Ranks are interchangeable, so only ascending sequences of masks are tried.
    void tryContentsFrom(std::size_t rank, std::size_t firstIndex)
    {
        if (rank == m_rankContents.size()) {
            evaluate();
            return;
        }
        for (std::size_t index = firstIndex; index < m_possibleContents.size(); ++index) {
            m_rankContents[rank] = m_possibleContents[index];
            addReplicas(m_possibleContents[index], 1);
            tryContentsFrom(rank + 1, index);
            addReplicas(m_possibleContents[index], -1);
        }
    }

    void addReplicas(std::uint32_t bits, int change)
    {
        for (std::size_t expert = 0; expert < m_replicaCounts.size(); ++expert)
            m_replicaCounts[expert] += (bits >> expert & 1U) != 0 ? change : 0;
    }

    void evaluate()
    {
        if (std::find(m_replicaCounts.begin(), m_replicaCounts.end(), 0) != m_replicaCounts.end())
            return;
        double maxLoad = 0;
        for (const std::uint32_t bits : m_rankContents) {
            double load = 0;
            for (std::size_t expert = 0; expert < m_replicaCounts.size(); ++expert)
                load += (bits >> expert & 1U) != 0 ? m_loads[expert] / m_replicaCounts[expert] : 0;
            maxLoad = std::max(maxLoad, load);
        }
        m_lowestMaxLoad = std::min(m_lowestMaxLoad, maxLoad);
    }

    const LayerLoads &m_loads;
    std::vector<std::uint32_t> m_possibleContents;
    std::vector<std::uint32_t> m_rankContents;
    std::vector<int> m_replicaCounts;
    double m_lowestMaxLoad = std::numeric_limits<double>::max();
};

} // namespace

double bruteForceSkew(const LayerLoads &loads, const GroupShape &shape)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (total <= 0)
        return 1;
    return PlacementSearch(loads, shape).findLowestMaxLoad()
           * static_cast<double>(shape.m_rankCount) / total;
}

} // namespace burdockhead
