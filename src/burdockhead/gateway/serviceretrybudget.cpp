#include <burdockhead/gateway/serviceretrybudget.h>

#include <algorithm>

namespace burdockhead {

ServiceRetryBudget::ServiceRetryBudget(const ServiceRetryBudgetOptions &options)
    : m_options(options)
    , m_requests(options.m_window)
    , m_retries(options.m_window)
{}

RetryBudgetState ServiceRetryBudget::state(std::size_t gatewayCount, TimePoint now)
{
    RetryBudgetState state;
    state.m_requests = m_requests.count(now);
    state.m_retries = m_retries.count(now);
    state.m_allowed =
        m_options.m_ratio * static_cast<double>(state.m_requests)
        + m_options.m_burst / static_cast<double>(std::max<std::size_t>(gatewayCount, 1));
    return state;
}

bool ServiceRetryBudget::tryAcquire(std::size_t gatewayCount, TimePoint now)
{
    const RetryBudgetState current = state(gatewayCount, now);
    if (static_cast<double>(current.m_retries + 1) > current.m_allowed)
        return false;
    m_retries.record(now);
    return true;
}

} // namespace burdockhead
