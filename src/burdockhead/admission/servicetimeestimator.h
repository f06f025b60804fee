#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <unordered_map>

namespace burdockhead {

// How long requests run at the endpoint lately: an exponentially weighted mean over all,
// and one for each kind.
class ServiceTimeEstimator
{
public:
    // A request of the kind ran for this long.
    void add(const KindName &kind, Duration duration);

    // The mean over all kinds; zero before the first run.
    Duration average() const { return m_average; }

    // The kind's mean, or that over all kinds when it hasn't run yet.
    Duration average(const KindName &kind) const;

private:
    Duration m_average{0};
    std::unordered_map<KindName, Duration> m_averageByKind;
};

} // namespace burdockhead
