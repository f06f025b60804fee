#pragma once

#include <burdockhead/base/timepoint.h>
#include <burdockhead/gateway/peertable.h>

namespace burdockhead::test {

// How one gateway of the simulation limits its retries.
class RetryLimit
{
public:
    virtual ~RetryLimit() = default;

    virtual void recordRequest(TimePoint now) = 0;

    // Returns whether a failed request may be sent again.
    virtual bool tryBegin(const PeerTable &peers, TimePoint now) = 0;

    // Called when the response to a retry arrives, or its connection ends.
    virtual void end(TimePoint now) = 0;
};

} // namespace burdockhead::test
