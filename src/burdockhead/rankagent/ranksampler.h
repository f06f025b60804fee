#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace burdockhead {

// Selects the ranks whose counts are read when those of all ranks would fill the coordinator's
// link. Spreads the sample over the group and prefers ranks that have requests. Otherwise a data
// centre that is taken out, whose ranks run nothing, could fill the sample and hide every shift of
// the demand.
class RankSampler
{
public:
    // Records whether a rank has counted anything since its previous reading.
    void recordReading(std::uint32_t rank, bool hasCounted, TimePoint now);

    // Returns at most `maxRanks` of the ranks. Ranks with requests stay selected, because counts
    // are read as differences.
    std::vector<std::uint32_t> choose(const std::vector<std::uint32_t> &ranks, std::size_t maxRanks,
                                      TimePoint now) const;

private:
    struct RankHistory
    {
        unsigned m_consecutiveEmpty = 0;
        TimePoint m_skippedUntil;
    };

    std::map<std::uint32_t, RankHistory> m_histories;
};

} // namespace burdockhead
