#include <burdockhead/gateway/retryallowance.h>

#include <algorithm>

namespace burdockhead {

RetryAllowance::RetryAllowance(const RetryAllowanceOptions &options)
    : m_options(options)
    , m_requests(options.m_window)
    , m_taken(options.m_window)
{}

bool RetryAllowance::take(std::size_t fleetSize, TimePoint now)
{
    const double earned =
        m_options.m_ratio * static_cast<double>(m_requests.count(now))
        + m_options.m_burst / static_cast<double>(std::max<std::size_t>(fleetSize, 1));
    if (static_cast<double>(m_taken.count(now) + 1) > earned)
        return false;
    m_taken.note(now);
    return true;
}

} // namespace burdockhead
