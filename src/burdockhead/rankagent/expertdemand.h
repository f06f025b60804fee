#pragma once

#include <burdockhead/expertmap/expertpopularity.h>
#include <burdockhead/rankagent/enginedialect.h>

#include <map>

namespace burdockhead {

// How much the experts of a group are in demand lately, from what its ranks have counted since
// they started.
class ExpertDemand
{
public:
    ExpertDemand(std::size_t layers, std::size_t experts);

    // Takes the counts of a rank; a rank that has started again counts anew.
    void add(std::uint32_t rank, std::uint64_t startedAt, const ExpertCounts &counts,
             TimePoint now);

    const GroupLoads &loads() const { return m_popularity.loads(); }

    // Whether enough has been counted to plan by.
    bool isTelling() const;

private:
    struct Seen
    {
        std::uint64_t m_startedAt = 0;
        std::vector<std::uint64_t> m_counts;
    };

    std::size_t m_layers;
    std::size_t m_experts;
    ExpertPopularity m_popularity;
    std::map<std::uint32_t, Seen> m_seen;
};

} // namespace burdockhead
