#include <burdockhead/admission/comebackschedule.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Duration shortestSpacing = Milliseconds(1);

} // namespace

ComeBackSchedule::ComeBackSchedule(std::uint64_t seed)
    : m_random(seed)
{}

TimePoint ComeBackSchedule::next(TimePoint now, Duration backlog, Duration spacing,
                                 Duration longest)
{
    const Duration step = std::max(spacing, shortestSpacing);
    std::uniform_int_distribution<Duration::rep> jitter(step.count() / 2, step.count() * 3 / 2);
    m_latest = std::max(m_latest, now + backlog) + Duration(jitter(m_random));
    if (m_latest <= now + longest)
        return m_latest;
    // The schedule is full: spread over its second half instead of its end.
    m_latest = now + longest;
    std::uniform_int_distribution<Duration::rep> half(longest.count() / 2, longest.count());
    return now + Duration(half(m_random));
}

} // namespace burdockhead
