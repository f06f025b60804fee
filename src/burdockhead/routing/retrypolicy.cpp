#include <burdockhead/base/erroranswer.h>
#include <burdockhead/routing/backoffschedule.h>
#include <burdockhead/routing/retrypolicy.h>

namespace burdockhead {

namespace {

constexpr unsigned maxImmediateRetries = 2;

bool isSafeToRepeat(const RequestAttributes &request, RunState runState)
{
    return request.m_repeatable || runState == RunState::NotRun;
}

} // namespace

RetryPolicy::RetryPolicy(const RetryOptions &options)
    : m_options(options)
{}

void RetryPolicy::applyConfiguration(const Configuration &configuration)
{
    std::erase_if(m_budgets, [&configuration](const auto &item) {
        return configuration.kind(item.first) == nullptr;
    });
    m_hedges.retainKinds(configuration);
}

void RetryPolicy::recordRequest(const RequestAttributes &request)
{
    m_budgets.try_emplace(request.m_kind, m_options).first->second.deposit();
}

void RetryPolicy::recordCompletion(const RequestAttributes &request, Duration elapsed)
{
    m_hedges.recordCompletion(request.m_kind, elapsed);
}

RetryDecision RetryPolicy::decideRetry(const RequestAttributes &request, ErrorKind error,
                                       RunState runState, unsigned attempts, TimePoint now,
                                       Random &random)
{
    if (!isSafeToRepeat(request, runState) || !answerFor(error).m_tryAnotherReplica)
        return {};
    if (m_options.m_isUnlimited)
        return {now < request.m_deadline ? std::optional(now) : std::nullopt};
    if (attempts >= m_options.m_maxAttempts)
        return {};
    const BackoffSchedule backoff(m_options.m_backoffBase, m_options.m_backoffCap);
    const bool isImmediate = runState == RunState::NotRun && attempts <= maxImmediateRetries;
    const TimePoint retryAt = isImmediate ? now : backoff.next(attempts, now, random);
    if (retryAt >= request.m_deadline || !withdraw(request.m_kind))
        return {};
    return {retryAt};
}

std::optional<TimePoint> RetryPolicy::hedgeTime(const RequestAttributes &request,
                                                TimePoint dispatchedAt) const
{
    if (!request.m_repeatable)
        return std::nullopt;
    const auto at = m_hedges.hedgeTime(request.m_kind, dispatchedAt);
    return at && *at < request.m_deadline ? at : std::nullopt;
}

bool RetryPolicy::tryAcquireHedge(const RequestAttributes &request, TimePoint now)
{
    return request.m_repeatable && now < request.m_deadline && withdraw(request.m_kind);
}

bool RetryPolicy::withdraw(const KindName &kind)
{
    const auto found = m_budgets.find(kind);
    return found != m_budgets.end() && found->second.withdraw();
}

} // namespace burdockhead
