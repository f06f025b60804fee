#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/engineprotocol.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// What a rank has counted since its counts were last read. A rank counts from its start on, so
// the first reading only sets the mark, as does the first one after a long time, which would tell
// of a demand that may have changed since. A rank that has started again begins anew; one that has
// just started tells all that it has counted.
class CountDelta
{
public:
    // What the rank, which started then and is that old, has counted since.
    ExpertCounts since(const ExpertCounts &counts, std::uint64_t startedAt, Milliseconds age,
                       TimePoint now);

private:
    std::vector<std::uint64_t> m_last;
    std::uint64_t m_startedAt = 0;
    TimePoint m_readAt;
};

} // namespace burdockhead
