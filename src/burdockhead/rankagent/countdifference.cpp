#include <burdockhead/rankagent/countdifference.h>

namespace burdockhead {

ExpertCounts CountDifference::since(const ExpertCounts &counts, std::uint64_t startedAt)
{
    ExpertCounts difference = counts;
    const bool isKnown = m_startedAt == startedAt && m_last.size() == counts.m_counts.size();
    for (std::size_t index = 0; index < counts.m_counts.size(); ++index) {
        const std::uint64_t last = isKnown ? m_last[index] : counts.m_counts[index];
        difference.m_counts[index] =
            counts.m_counts[index] > last ? counts.m_counts[index] - last : 0;
    }
    m_last = counts.m_counts;
    m_startedAt = startedAt;
    return difference;
}

} // namespace burdockhead
