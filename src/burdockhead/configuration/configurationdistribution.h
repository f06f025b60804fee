#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/platform/platformobject.h>

#include <cstdint>

namespace burdockhead {

// The part of cluster membership that accepting a configuration change depends on.
class ConfigurationDistribution
{
public:
    virtual ~ConfigurationDistribution() = default;

    // Returns true if a quorum of data centres has reported recently.
    virtual bool isQuorumReachable() = 0;

    // Applies a configuration object that was just read or written, if its version is newer.
    virtual void onPlatformObject(const PlatformObject &object) = 0;

    // Blocks until a quorum of data centres holds that version; false if the deadline passes.
    virtual bool waitForQuorum(std::uint64_t version, TimePoint deadline) = 0;
};

} // namespace burdockhead
