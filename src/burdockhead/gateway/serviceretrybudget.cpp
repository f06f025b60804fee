#include <burdockhead/gateway/serviceretrybudget.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Part of the requests of two windows that counts.
constexpr double countedPart = 0.5;

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
    removeUntil(m_retries, now - m_options.m_window);
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
    RetryBudgetState state{m_requests.size(), m_retries.size(), availableSince(now, 0)};
    std::size_t retries = 0;
    for (auto retry = m_retries.rbegin(); retry != m_retries.rend(); ++retry)
        state.m_available = std::min(state.m_available, availableSince(*retry, ++retries));
    return state;
}

bool ServiceRetryBudget::tryAcquire(double burstShare, TimePoint now)
{
    if (state(burstShare, now).m_available < 1)
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace burdockhead
