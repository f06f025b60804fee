#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/platform/platformobject.h>

#include <cstdint>

namespace burdockhead {

// What accepting a change needs from the membership of the process that accepts it.
class ConfigurationDistribution
{
public:
    virtual ~ConfigurationDistribution() = default;

    // True when a quorum of data centres has been heard of lately.
    virtual bool isQuorumReachable() = 0;

    // Takes the configuration object read or written just now, if it is newer.
    virtual void onPlatformObject(const PlatformObject &object) = 0;

    // Waits until a quorum of data centres holds that version; false at the deadline.
    virtual bool waitForQuorum(std::uint64_t version, TimePoint deadline) = 0;
};

} // namespace burdockhead
