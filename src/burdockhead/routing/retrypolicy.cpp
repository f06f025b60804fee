#include <burdockhead/base/erroranswer.h>
#include <burdockhead/routing/backoffschedule.h>
#include <burdockhead/routing/retrypolicy.h>

namespace burdockhead {

namespace {

constexpr unsigned immediateRetries = 2;

bool mayRunAgain(const RequestAttributes &facts, RunState runState)
{
    return facts.m_repeatable || runState == RunState::NotRun;
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

void RetryPolicy::noteRequest(const RequestAttributes &facts)
{
    m_budgets.try_emplace(facts.m_kind, m_options).first->second.deposit();
}

void RetryPolicy::noteCompletion(const RequestAttributes &facts, Duration elapsed)
{
    m_hedges.noteCompletion(facts.m_kind, elapsed);
}

RetryDecision RetryPolicy::retryAfter(const RequestAttributes &facts, ErrorKind error,
                                      RunState runState, unsigned attempts, TimePoint now,
                                      Random &random)
{
    if (!mayRunAgain(facts, runState) || !answerFor(error).m_tryAnotherReplica)
        return {};
    if (m_options.m_unlimited)
        return {now < facts.m_deadline ? std::optional(now) : std::nullopt};
    if (attempts >= m_options.m_maxAttempts)
        return {};
    const BackoffSchedule backoff(m_options.m_backoffBase, m_options.m_backoffCap);
    const bool atOnce = runState == RunState::NotRun && attempts <= immediateRetries;
    const TimePoint retryAt = atOnce ? now : backoff.next(attempts, now, random);
    if (retryAt >= facts.m_deadline || !withdraw(facts.m_kind))
        return {};
    return {retryAt};
}

std::optional<TimePoint> RetryPolicy::hedgeAt(const RequestAttributes &facts,
                                              TimePoint dispatchedAt) const
{
    if (!facts.m_repeatable)
        return std::nullopt;
    const auto slowAt = m_hedges.slowAt(facts.m_kind, dispatchedAt);
    return slowAt && *slowAt < facts.m_deadline ? slowAt : std::nullopt;
}

bool RetryPolicy::takeHedge(const RequestAttributes &facts, TimePoint now)
{
    return facts.m_repeatable && now < facts.m_deadline && withdraw(facts.m_kind);
}

bool RetryPolicy::withdraw(const KindName &kind)
{
    const auto found = m_budgets.find(kind);
    return found != m_budgets.end() && found->second.withdraw();
}

} // namespace burdockhead
