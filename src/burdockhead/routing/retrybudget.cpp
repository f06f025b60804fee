#include <burdockhead/routing/retrybudget.h>

#include <algorithm>

namespace burdockhead {

RetryBudget::RetryBudget(const RetryOptions &options)
    : m_ratio(options.m_budgetRatio)
    , m_burst(options.m_budgetBurst)
    , m_tokens(options.m_budgetBurst)
{}

void RetryBudget::deposit()
{
    m_tokens = std::min(m_burst, m_tokens + m_ratio);
}

bool RetryBudget::withdraw()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace burdockhead
