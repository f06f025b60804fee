#include <burdockhead/rankagent/countdelta.h>

namespace burdockhead {

namespace {

// An older baseline is replaced: the coordinator reads several times a second, and the demand
// shifts every few seconds.
constexpr Milliseconds maxBaselineAge{1000};
// All counts of a younger rank belong to the present demand.
constexpr Milliseconds newRankAge{3000};

} // namespace

ExpertCounts CountDelta::sinceLastReading(const ExpertCounts &counts, std::uint64_t startedAt,
                                          Milliseconds age, TimePoint now)
{
    ExpertCounts delta = counts;
    const bool hasBaseline = m_startedAt == startedAt
                             && m_lastCounts.size() == counts.m_counts.size()
                             && now < m_lastReadAt + maxBaselineAge;
    const bool isNewRank = age >= Milliseconds(0) && age < newRankAge;
    for (std::size_t index = 0; index < counts.m_counts.size(); ++index) {
        const std::uint64_t baseline = hasBaseline ? m_lastCounts[index]
                                       : isNewRank ? 0
                                                   : counts.m_counts[index];
        delta.m_counts[index] =
            counts.m_counts[index] > baseline ? counts.m_counts[index] - baseline : 0;
    }
    m_lastCounts = counts.m_counts;
    m_startedAt = startedAt;
    m_lastReadAt = now;
    return delta;
}

} // namespace burdockhead
