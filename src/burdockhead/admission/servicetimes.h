#pragma once

#include <burdockhead/base/name.h>
#include <burdockhead/base/timepoint.h>

#include <unordered_map>

namespace burdockhead {

// How long requests run at the endpoint lately: an exponentially weighted mean over all,
// and one for each kind.
class ServiceTimes
{
public:
    // A request of the kind ran for this long.
    void add(const KindName &kind, Duration ran);

    // The mean over all kinds; zero before the first run.
    Duration mean() const { return m_mean; }

    // The kind's mean, or that over all kinds when it hasn't run yet.
    Duration mean(const KindName &kind) const;

private:
    Duration m_mean{0};
    std::unordered_map<KindName, Duration> m_byKind;
};

} // namespace burdockhead
