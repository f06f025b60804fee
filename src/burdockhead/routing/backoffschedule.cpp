#include <burdockhead/routing/backoffschedule.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr unsigned maxDoublings = 16;

} // namespace

BackoffSchedule::BackoffSchedule(Duration base, Duration cap)
    : m_base(base)
    , m_cap(cap)
{}

TimePoint BackoffSchedule::next(unsigned attempts, TimePoint now, Random &random) const
{
    const unsigned doublings = std::min(attempts > 0 ? attempts - 1 : 0, maxDoublings);
    const Duration ceiling = std::min<Duration>(m_base * (1U << doublings), m_cap);
    std::uniform_int_distribution<Duration::rep> wait(1,
                                                      std::max<Duration::rep>(1, ceiling.count()));
    return now + Duration(wait(random));
}

} // namespace burdockhead
