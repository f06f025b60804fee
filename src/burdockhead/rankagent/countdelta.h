#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/rankagent/engineprotocol.h>

#include <cstdint>
#include <vector>

namespace burdockhead {

// Turns a rank's cumulative counts into differences between readings. A first reading, or one after
// a long pause, only sets the baseline: the pause's counts could describe a demand that has shifted
// since. A restarted rank sets a new baseline; a newly started one reports all it has counted.
class CountDelta
{
public:
    // Returns the counts since the last reading. `startedAt` and `age` belong to the rank's
    // process.
    ExpertCounts sinceLastReading(const ExpertCounts &counts, std::uint64_t startedAt,
                                  Milliseconds age, TimePoint now);

private:
    std::vector<std::uint64_t> m_lastCounts;
    std::uint64_t m_startedAt = 0;
    TimePoint m_lastReadAt;
};

} // namespace burdockhead
