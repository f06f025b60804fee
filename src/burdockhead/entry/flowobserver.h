#pragma once

#include <burdockhead/base/errorkind.h>
#include <burdockhead/base/runstate.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/routing/attemptoutcome.h>
#include <burdockhead/routing/requestattributes.h>

#include <string>

namespace burdockhead {

// Receives the events in the life of every request, for metrics and the timeline. Called from
// several threads while the flow's lock may be held; must not call back into the flow.
class FlowObserver
{
public:
    virtual ~FlowObserver() = default;

    // A valid request was accepted and its flow started.
    virtual void onAccepted(const RequestAttributes &attributes) = 0;

    // An attempt, possibly a hedge, was dispatched to the endpoint.
    virtual void onDispatched(const RequestAttributes &attributes,
                              const EndpointName &endpoint) = 0;

    // The first data of a response body was received.
    virtual void onFirstData(const RequestAttributes &attributes, Duration sinceStart) = 0;

    // An attempt ended; the reason is empty unless it failed.
    virtual void onAttemptEnded(const RequestAttributes &attributes, const EndpointName &endpoint,
                                AttemptOutcome outcome, const std::string &reason) = 0;

    // The complete response was written.
    virtual void onCompleted(const RequestAttributes &attributes, Duration sinceStart) = 0;

    // The caller was sent an error, or has disconnected.
    virtual void onFailed(const RequestAttributes &attributes, ErrorKind kind,
                          RunState runState) = 0;
};

} // namespace burdockhead
