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

    void accepted(const RequestFacts &facts) override;
    void dispatched(const RequestFacts &facts, const EndpointName &endpoint) override;
    void firstData(const RequestFacts &facts, Duration sinceStart) override;
    void attemptEnded(const RequestFacts &facts, const EndpointName &endpoint,
                      AttemptOutcome outcome, const std::string &reason) override;
    void completed(const RequestFacts &facts, Duration sinceStart) override;
    void failed(const RequestFacts &facts, ErrorKind kind, RunState runState) override;

private:
    Metrics &m_metrics;
    EventRing &m_events;
};

} // namespace burdockhead
