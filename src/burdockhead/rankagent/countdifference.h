#pragma once

#include <burdockhead/rankagent/enginedialect.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// What a rank has counted since its counts were last read. A rank counts from its start on, so
// the first reading only sets the mark, and a rank that has started again begins anew.
class CountDifference
{
public:
    ExpertCounts since(const ExpertCounts &counts, std::uint64_t startedAt);

private:
    std::vector<std::uint64_t> m_last;
    std::uint64_t m_startedAt = 0;
};

} // namespace burdockhead
