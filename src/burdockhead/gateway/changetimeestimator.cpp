#include <burdockhead/gateway/changetimeestimator.h>

#include <utility>

namespace burdockhead {

namespace {

// A watch that took longer was waiting for its change; a shorter one may return changes from
// before it was sent. The store responds within milliseconds, at worst some hundred.
constexpr Milliseconds promptResponseTime{500};
// Failed calls for longer than this are an outage, in which entries may expire.
constexpr Milliseconds minOutageTime{1000};

} // namespace

TimePoint ChangeTimeEstimator::recordResponse(TimePoint now)
{
    const TimePoint previousResponseAt = std::exchange(m_lastResponseAt, now);
    const bool hasFailed = std::exchange(m_hasFailed, false);
    const bool isFirst = previousResponseAt == TimePoint();
    const bool wasOutage = hasFailed && now - previousResponseAt > minOutageTime;
    const bool hasWaited = !hasFailed && now - m_sentAt > promptResponseTime;
    return isFirst || wasOutage || hasWaited ? now : previousResponseAt;
}

} // namespace burdockhead
