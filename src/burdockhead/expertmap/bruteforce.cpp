#include <burdockhead/expertmap/bruteforce.h>

#include <algorithm>
#include <bit>
#include <limits>
#include <numeric>

namespace burdockhead {

namespace {

// Tries all placements; a rank's experts are the bits of a number.
class PlacementSearch
{
public:
    PlacementSearch(const LayerLoads &loads, const GroupShape &shape)
        : m_loads(loads)
        , m_contents(shape.m_rankCount, 0)
        , m_counts(loads.size(), 0)
    {
        for (std::uint32_t bits = 0; bits < (1U << loads.size()); ++bits) {
            if (std::popcount(bits) <= static_cast<int>(shape.m_slotsPerRank))
                m_choices.push_back(bits);
        }
    }

    double run()
    {
        tryRank(0, 0);
        return m_least;
    }

private:
    // Ranks are alike, so their contents are tried in ascending order only.
    void tryRank(std::size_t rank, std::size_t firstChoice)
    {
        if (rank == m_contents.size()) {
            weigh();
            return;
        }
        for (std::size_t choice = firstChoice; choice < m_choices.size(); ++choice) {
            m_contents[rank] = m_choices[choice];
            count(m_choices[choice], 1);
            tryRank(rank + 1, choice);
            count(m_choices[choice], -1);
        }
    }

    void count(std::uint32_t bits, int change)
    {
        for (std::size_t expert = 0; expert < m_counts.size(); ++expert)
            m_counts[expert] += (bits >> expert & 1U) != 0 ? change : 0;
    }

    void weigh()
    {
        if (std::find(m_counts.begin(), m_counts.end(), 0) != m_counts.end())
            return;
        double heaviest = 0;
        for (const std::uint32_t bits : m_contents) {
            double load = 0;
            for (std::size_t expert = 0; expert < m_counts.size(); ++expert)
                load += (bits >> expert & 1U) != 0 ? m_loads[expert] / m_counts[expert] : 0;
            heaviest = std::max(heaviest, load);
        }
        m_least = std::min(m_least, heaviest);
    }

    const LayerLoads &m_loads;
    std::vector<std::uint32_t> m_choices;
    std::vector<std::uint32_t> m_contents;
    std::vector<int> m_counts;
    double m_least = std::numeric_limits<double>::max();
};

} // namespace

double bruteForceSkew(const LayerLoads &loads, const GroupShape &shape)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (total <= 0)
        return 1;
    return PlacementSearch(loads, shape).run() * static_cast<double>(shape.m_rankCount) / total;
}

} // namespace burdockhead
