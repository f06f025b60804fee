#include <burdockhead/admission/retryafterschedule.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr Duration minSpacing = Milliseconds(1);

} // namespace

RetryAfterSchedule::RetryAfterSchedule(std::uint64_t seed)
    : m_random(seed)
{}

TimePoint RetryAfterSchedule::next(TimePoint now, Duration backlog, Duration spacing,
                                   Duration maxDelay)
{
    const Duration step = std::max(spacing, minSpacing);
    std::uniform_int_distribution<Duration::rep> jitter(step.count() / 2, step.count() * 3 / 2);
    m_lastRetryTime = std::max(m_lastRetryTime, now + backlog) + Duration(jitter(m_random));
    if (m_lastRetryTime <= now + maxDelay)
        return m_lastRetryTime;
    // Beyond the maximum delay retries are spread over its second half; at its end alone they
    // would form a burst.
    m_lastRetryTime = now + maxDelay;
    std::uniform_int_distribution<Duration::rep> secondHalf(maxDelay.count() / 2, maxDelay.count());
    return now + Duration(secondHalf(m_random));
}

} // namespace burdockhead
