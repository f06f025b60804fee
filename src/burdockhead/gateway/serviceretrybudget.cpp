#include <burdockhead/gateway/serviceretrybudget.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Part of the requests of two windows that counts.
constexpr double countedPart = 0.5;
// Time from a gateway to an endpoint: a retry whose connection has just been reset may arrive for
// as long.
constexpr Milliseconds travelTime{100};

void removeUntil(std::deque<TimePoint> &times, TimePoint end)
{
    while (!times.empty() && times.front() <= end)
        times.pop_front();
}

} // namespace

ServiceRetryBudget::ServiceRetryBudget(const ServiceRetryBudgetOptions &options)
    : m_options(options)
{}

void ServiceRetryBudget::removeExpired(TimePoint now)
{
    removeUntil(m_requests, now - 2 * m_options.m_window);
    removeUntil(m_arrivals, now - m_options.m_window);
}

RetryBudgetState ServiceRetryBudget::state(double burstShare, TimePoint now)
{
    removeExpired(now);
    // Returns what is left for the window that begins just before a retry, or now.
    auto firstRequest = m_requests.end();
    std::size_t requests = 0;
    const auto availableSince = [&](TimePoint start, std::size_t retries) {
        for (; firstRequest != m_requests.begin()
               && *std::prev(firstRequest) > start - m_options.m_window;
             --firstRequest)
            ++requests;
        return m_options.m_burst * burstShare
               + m_options.m_ratio * countedPart * static_cast<double>(requests)
               - static_cast<double>(retries);
    };
    std::size_t retries = m_openRetries;
    RetryBudgetState state{m_requests.size(), m_openRetries + m_arrivals.size(),
                           availableSince(now, retries)};
    for (auto arrival = m_arrivals.rbegin(); arrival != m_arrivals.rend(); ++arrival)
        state.m_available = std::min(state.m_available, availableSince(*arrival, ++retries));
    return state;
}

bool ServiceRetryBudget::tryBegin(double burstShare, TimePoint now)
{
    if (state(burstShare, now).m_available < 1)
        return false;
    ++m_openRetries;
    return true;
}

void ServiceRetryBudget::end(TimePoint now)
{
    --m_openRetries;
    m_arrivals.push_back(now + travelTime);
}

void ServiceRetryBudget::cancel()
{
    --m_openRetries;
}

} // namespace burdockhead
