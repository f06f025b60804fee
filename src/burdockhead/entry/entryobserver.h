#pragma once

#include <burdockhead/entry/flowobserver.h>

namespace burdockhead {

class EventRing;
class Metrics;

// Updates metrics and records timeline events for the progress of requests.
class EntryObserver : public FlowObserver
{
public:
    EntryObserver(Metrics &metrics, EventRing &events);

    void onAccepted(const RequestAttributes &attributes) override;
    void onDispatched(const RequestAttributes &attributes, const EndpointName &endpoint) override;
    void onFirstData(const RequestAttributes &attributes, Duration sinceStart) override;
    void onAttemptEnded(const RequestAttributes &attributes, const EndpointName &endpoint,
                        AttemptOutcome outcome, const std::string &reason) override;
    void onCompleted(const RequestAttributes &attributes, Duration sinceStart) override;
    void onFailed(const RequestAttributes &attributes, ErrorKind kind, RunState runState) override;

private:
    Metrics &m_metrics;
    EventRing &m_events;
};

} // namespace burdockhead
