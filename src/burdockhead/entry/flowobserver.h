#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/runstate.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/routing/attemptoutcome.h>
#include <burdockhead/routing/requestattributes.h>

#include <string>

namespace burdockhead {

// Told of the milestones of every request, for counters and the time line. Called from
// several threads; must not call back.
class FlowObserver
{
public:
    virtual ~FlowObserver() = default;

    virtual void accepted(const RequestAttributes &facts) = 0;
    virtual void dispatched(const RequestAttributes &facts, const EndpointName &endpoint) = 0;
    virtual void firstData(const RequestAttributes &facts, Duration sinceStart) = 0;
    virtual void attemptEnded(const RequestAttributes &facts, const EndpointName &endpoint,
                              AttemptOutcome outcome, const std::string &reason) = 0;
    virtual void completed(const RequestAttributes &facts, Duration sinceStart) = 0;
    virtual void failed(const RequestAttributes &facts, ErrorKind kind, RunState runState) = 0;
};

} // namespace burdockhead
