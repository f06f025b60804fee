#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace burdockhead {

// Which ranks' counts are read where those of all would fill the coordinator's link: ranks that
// have requests, from all over the group. Answers the load pattern of a data centre that is taken
// out: its ranks run nothing, and their counts would hide every shift of the demand.
class RankSampler
{
public:
    // Notes whether a rank that was asked for its counts has counted anything since the last time.
    void note(std::uint32_t rank, bool hasCounted, TimePoint now);

    // At most that many of the ranks; the same ones again while they have requests, since a rank's
    // counts are told as differences.
    std::vector<std::uint32_t> choose(const std::vector<std::uint32_t> &ranks, std::size_t most,
                                      TimePoint now) const;

private:
    struct RankNote
    {
        unsigned m_emptyInRow = 0;
        TimePoint m_passedOverUntil;
    };

    std::map<std::uint32_t, RankNote> m_notes;
};

} // namespace burdockhead
