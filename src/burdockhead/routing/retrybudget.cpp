#include <burdockhead/routing/retrybudget.h>

#include <algorithm>

namespace burdockhead {

RetryBudget::RetryBudget(const RetryOptions &options)
    : m_share(options.m_extraShare)
    , m_reserve(options.m_reserve)
    , m_tokens(options.m_reserve)
{}

void RetryBudget::deposit()
{
    m_tokens = std::min(m_reserve, m_tokens + m_share);
}

bool RetryBudget::withdraw()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace burdockhead
