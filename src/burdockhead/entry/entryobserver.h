#pragma once

#include <burdockhead/entry/flowobserver.h>

namespace burdockhead {

class EventRing;
class Metrics;

// Counts what flows do and puts their milestones on the time line.
class EntryObserver : public FlowObserver
{
public:
    EntryObserver(Metrics &metrics, EventRing &events);

    void accepted(const RequestAttributes &facts) override;
    void dispatched(const RequestAttributes &facts, const EndpointName &endpoint) override;
    void firstData(const RequestAttributes &facts, Duration sinceStart) override;
    void attemptEnded(const RequestAttributes &facts, const EndpointName &endpoint,
                      AttemptOutcome outcome, const std::string &reason) override;
    void completed(const RequestAttributes &facts, Duration sinceStart) override;
    void failed(const RequestAttributes &facts, ErrorKind kind, RunState runState) override;

private:
    Metrics &m_metrics;
    EventRing &m_events;
};

} // namespace burdockhead
