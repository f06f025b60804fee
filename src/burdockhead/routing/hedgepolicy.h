#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/configuration/configuration.h>

#include <optional>
#include <unordered_map>

namespace burdockhead {

// Times hedged attempts: a request is hedged once it exceeds the 95th percentile of the recent
// durations of its kind.
class HedgePolicy
{
public:
    // Records the duration of a completed request. Must be called for configured kinds only,
    // because an estimate is kept for each kind.
    void recordCompletion(const KindName &kind, Duration elapsed);

    // Returns when to hedge a request dispatched at the given time; none with too few samples.
    std::optional<TimePoint> hedgeTime(const KindName &kind, TimePoint dispatchedAt) const;

    // Removes the kinds that are no longer configured.
    void retainKinds(const Configuration &configuration);

private:
    struct Estimate
    {
        unsigned m_samples = 0;
        double m_quantileSeconds = 0; // Estimated 95th percentile.
        double m_averageSeconds = 0;  // Average duration; steps of the estimate scale with it.
    };

    std::unordered_map<KindName, Estimate> m_estimates;
};

} // namespace burdockhead
