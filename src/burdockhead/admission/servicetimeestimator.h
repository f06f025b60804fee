#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <unordered_map>

namespace burdockhead {

// Estimates how long requests run at the endpoint: an exponentially weighted moving average over
// all requests, and one for each kind.
class ServiceTimeEstimator
{
public:
    // Adds the run time of a completed request.
    void add(const KindName &kind, Duration duration);

    // Returns the average over all kinds; zero before the first sample.
    Duration average() const { return m_average; }

    // Returns the average of the kind, or over all kinds if it has no sample.
    Duration average(const KindName &kind) const;

private:
    Duration m_average{0};
    std::unordered_map<KindName, Duration> m_averageByKind;
};

} // namespace burdockhead
