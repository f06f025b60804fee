#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/configuration/configuration.h>

#include <optional>
#include <unordered_map>

namespace burdockhead {

// Times second attempts: a request is hedged once it has taken longer than 95 in 100 of its
// kind lately do.
class HedgePolicy
{
public:
    // Notes how long a completed request of a kind took. To be called for configured kinds
    // only, as a record is kept for each.
    void noteCompletion(const KindName &kind, Duration elapsed);

    // When a request dispatched at that time is slow; none while too little is known.
    std::optional<TimePoint> slowAt(const KindName &kind, TimePoint dispatchedAt) const;

    // Forgets the kinds that are no longer configured.
    void retainKinds(const Configuration &configuration);

private:
    struct Estimate
    {
        unsigned m_samples = 0;
        double m_seconds = 0; // Estimated 95th percentile.
        double m_scale = 0;   // Mean time; the estimate's steps are a part of it.
    };

    std::unordered_map<KindName, Estimate> m_estimates;
};

} // namespace burdockhead
