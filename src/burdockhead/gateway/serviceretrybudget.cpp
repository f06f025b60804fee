#include <burdockhead/gateway/serviceretrybudget.h>

#include <algorithm>

namespace burdockhead {

ServiceRetryBudget::ServiceRetryBudget(const ServiceRetryBudgetOptions &options)
    : m_options(options)
    , m_requests(options.m_window)
    , m_retries(options.m_window)
{}

bool ServiceRetryBudget::tryAcquire(std::size_t gatewayCount, TimePoint now)
{
    const double allowedRetries =
        m_options.m_ratio * static_cast<double>(m_requests.count(now))
        + m_options.m_burst / static_cast<double>(std::max<std::size_t>(gatewayCount, 1));
    if (static_cast<double>(m_retries.count(now) + 1) > allowedRetries)
        return false;
    m_retries.record(now);
    return true;
}

} // namespace burdockhead
