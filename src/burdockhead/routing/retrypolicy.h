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

// Decides on further attempts: retries and hedges of each kind within one budget.
class RetryPolicy
{
public:
    explicit RetryPolicy(const RetryOptions &options);

    // Forgets the kinds that are no longer configured.
    void applyConfiguration(const Configuration &configuration);

    // Notes a new request.
    void noteRequest(const RequestAttributes &facts);

    // Notes how long a completed request took.
    void noteCompletion(const RequestAttributes &facts, Duration elapsed);

    // When a failed request is tried again, if it is. Uses up budget when it is.
    RetryDecision retryAfter(const RequestAttributes &facts, ErrorKind error, RunState runState,
                             unsigned attempts, TimePoint now, Random &random);

    // When a second attempt may be started; none when it may not.
    std::optional<TimePoint> hedgeAt(const RequestAttributes &facts, TimePoint dispatchedAt) const;

    // Leave to start a second attempt now; uses up budget when true.
    bool takeHedge(const RequestAttributes &facts, TimePoint now);

private:
    bool withdraw(const KindName &kind);

    RetryOptions m_options;
    HedgePolicy m_hedges;
    std::unordered_map<KindName, RetryBudget> m_budgets;
};

} // namespace burdockhead
