#include <burdockhead/rankagent/countdelta.h>

namespace burdockhead {

namespace {

// A mark that is older than this is set anew: a coordinator reads some times a second, and the
// demand shifts every few seconds.
constexpr Milliseconds markHolds{1000};
// A rank that is younger has counted no other demand than the present one.
constexpr Milliseconds youngAge{3000};

} // namespace

ExpertCounts CountDelta::since(const ExpertCounts &counts, std::uint64_t startedAt,
                               Milliseconds age, TimePoint now)
{
    ExpertCounts difference = counts;
    const bool isKnown = m_startedAt == startedAt && m_last.size() == counts.m_counts.size()
                         && now < m_readAt + markHolds;
    const bool isYoung = age >= Milliseconds(0) && age < youngAge;
    for (std::size_t index = 0; index < counts.m_counts.size(); ++index) {
        const std::uint64_t last = isKnown ? m_last[index] : isYoung ? 0 : counts.m_counts[index];
        difference.m_counts[index] =
            counts.m_counts[index] > last ? counts.m_counts[index] - last : 0;
    }
    m_last = counts.m_counts;
    m_startedAt = startedAt;
    m_readAt = now;
    return difference;
}

} // namespace burdockhead
