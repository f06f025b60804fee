#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/random.h>
#include <burdockhead/base/runstate.h>
#include <burdockhead/configuration/configuration.h>
#include <burdockhead/routing/hedgepolicy.h>
#include <burdockhead/routing/requestattributes.h>
#include <burdockhead/routing/retrybudget.h>
#include <burdockhead/routing/retrydecision.h>

#include <unordered_map>

namespace burdockhead {

// Decides on retries and hedges; both share one budget per kind.
class RetryPolicy
{
public:
    explicit RetryPolicy(const RetryOptions &options);

    // Removes the kinds that are no longer configured.
    void applyConfiguration(const Configuration &configuration);

    // Records a new request.
    void recordRequest(const RequestAttributes &request);

    // Records the duration of a completed request.
    void recordCompletion(const RequestAttributes &request, Duration elapsed);

    // Decides whether and when a failed request is retried. A retry takes a token from the budget.
    RetryDecision decideRetry(const RequestAttributes &request, ErrorKind error, RunState runState,
                              unsigned attempts, TimePoint now, Random &random);

    // Returns when a second attempt may be started; none if it may not.
    std::optional<TimePoint> hedgeTime(const RequestAttributes &request,
                                       TimePoint dispatchedAt) const;

    // Returns whether a second attempt may be started now; takes a token from the budget if true.
    bool tryAcquireHedge(const RequestAttributes &request, TimePoint now);

private:
    bool withdraw(const KindName &kind);

    RetryOptions m_options;
    HedgePolicy m_hedges;
    std::unordered_map<KindName, RetryBudget> m_budgets;
};

} // namespace burdockhead
