#include <burdockhead/gateway/servicelimiter.h>

#include <algorithm>
#include <cmath>

namespace burdockhead {

namespace {

// Consecutive refusals which show that the service, not just one endpoint, refuses requests.
constexpr unsigned refusalThreshold = 4;
// Pause after them; a stalled group of ranks accepts requests again within about this time.
constexpr Milliseconds refusalPause{300};
// Retry delays for refused clients: about the time in which a burst is worked off, and, for a
// service that refuses everything, the time in which a crashed rank recovers. Clients retry only
// once, so one that retries too early is lost.
constexpr Milliseconds defaultRetryDelay{500};
constexpr Milliseconds outageRetryDelay{2500};
// Concurrent probe requests while refusals continue.
constexpr std::size_t maxProbes = 1;
// Divisor of the moving averages of request times: about the last ten requests count.
constexpr int smoothingDivisor = 10;
// Weight of one event in the average event interval. A gateway sees about ten streams, so about the
// last two steps of the ranks count.
constexpr double eventSmoothingFactor = 0.06;
// Fraction of the longest event interval above which steps count as slow. More requests would slow
// them further and make every stream late.
constexpr double slowThreshold = 0.8;
// Average event interval that is assumed when a service accepts requests again: a group that has
// formed anew uses its initial map, and all queued requests would be sent at once.
constexpr double intervalAfterOutage = 1;
// Event intervals older than this are ignored.
constexpr Milliseconds intervalValidFor{500};

void updateAverage(Duration &average, Duration sample)
{
    average = average.count() == 0 ? sample : average + (sample - average) / smoothingDivisor;
}

} // namespace

// Counts one request more than there are, so that a gateway without any gets a share.
std::size_t ServiceLimiter::shareOf(double requests) const
{
    const double share =
        concurrencyShare(requests, m_capacity, static_cast<double>(this->requests() + 1));
    return std::max(m_capacity.m_minShare, static_cast<std::size_t>(std::ceil(share)));
}

bool ServiceLimiter::mayStart(TimePoint now) const
{
    if (m_consecutiveRefusals >= refusalThreshold)
        return now >= m_pausedUntil && m_running < std::min(limit(), maxProbes);
    const bool isSlow =
        m_averageEventInterval > slowThreshold && now < m_lastEventAt + intervalValidFor;
    return m_running < (isSlow ? slowLimit() : limit());
}

void ServiceLimiter::recordArrival(TimePoint now)
{
    m_recentArrivals.record(now);
    m_retryBudget.recordRequest(now);
}

void ServiceLimiter::recordEventInterval(Duration interval, Duration maxInterval, TimePoint now)
{
    if (maxInterval.count() <= 0)
        return;
    const double fraction =
        std::chrono::duration<double>(interval) / std::chrono::duration<double>(maxInterval);
    m_averageEventInterval += (fraction - m_averageEventInterval) * eventSmoothingFactor;
    m_lastEventAt = now;
}

void ServiceLimiter::onFirstEvent(Duration elapsed, TimePoint now)
{
    if (m_consecutiveRefusals >= refusalThreshold) {
        m_averageEventInterval = intervalAfterOutage;
        m_lastEventAt = now;
    }
    m_consecutiveRefusals = 0;
    updateAverage(m_averageFirstEventTime, elapsed);
}

void ServiceLimiter::onEnded(Duration elapsed, bool isSuccess)
{
    if (m_running > 0)
        --m_running;
    if (!isSuccess)
        return;
    m_consecutiveRefusals = 0;
    updateAverage(m_averageServiceTime, elapsed);
}

void ServiceLimiter::onRefused(TimePoint now)
{
    ++m_consecutiveRefusals;
    if (m_consecutiveRefusals >= refusalThreshold)
        m_pausedUntil = now + refusalPause;
}

Milliseconds ServiceLimiter::retryDelay(Duration wait) const
{
    if (m_consecutiveRefusals >= refusalThreshold)
        return outageRetryDelay;
    const Duration longest = std::max(wait, expectedWait(m_queue.size()));
    return std::clamp(std::chrono::duration_cast<Milliseconds>(longest), defaultRetryDelay,
                      outageRetryDelay);
}

Duration ServiceLimiter::expectedWait(std::size_t callsAhead) const
{
    return m_averageServiceTime * static_cast<int>(callsAhead + 1) / static_cast<int>(limit());
}

} // namespace burdockhead
