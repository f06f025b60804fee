#include <burdockhead/entry/entryobserver.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/observe/metrics.h>

#include <fmt/format.h>

namespace burdockhead {

namespace {

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

EventSubject eventSubject(const RequestAttributes &attributes, const EndpointName &endpoint)
{
    return {attributes.m_id, attributes.m_workspace, endpoint};
}

const char *toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return "completed";
    case AttemptOutcome::RefusedNotRun:
        return "refused_not_run";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Unreachable:
        return "unreachable";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    }
    return "failed";
}

} // namespace

EntryObserver::EntryObserver(Metrics &metrics, EventRing &events)
    : m_metrics(metrics)
    , m_events(events)
{}

void EntryObserver::onAccepted(const RequestAttributes &attributes)
{
    m_metrics.counter("burdockhead_requests_received_total", {{"kind", attributes.m_kind.text()}})
        .add();
    m_events.record(EventType::RequestReceived, eventSubject(attributes, {}),
                    "kind " + attributes.m_kind.text());
}

void EntryObserver::onDispatched(const RequestAttributes &attributes, const EndpointName &endpoint)
{
    m_metrics.counter("burdockhead_attempts_total", {{"kind", attributes.m_kind.text()}}).add();
    m_events.record(EventType::RequestRouted, eventSubject(attributes, endpoint), "");
}

void EntryObserver::onFirstData(const RequestAttributes &attributes, Duration sinceStart)
{
    m_metrics
        .distribution("burdockhead_first_data_duration_seconds",
                      {{"kind", attributes.m_kind.text()}})
        .observe(toSeconds(sinceStart));
}

void EntryObserver::onAttemptEnded(const RequestAttributes &attributes,
                                   const EndpointName &endpoint, AttemptOutcome outcome,
                                   const std::string &reason)
{
    m_metrics
        .counter("burdockhead_attempts_ended_total",
                 {{"endpoint", endpoint.text()}, {"outcome", toString(outcome)}})
        .add();
    if (outcome != AttemptOutcome::Completed)
        m_events.record(EventType::RequestRetried, eventSubject(attributes, endpoint),
                        fmt::format("attempt {}: {}", toString(outcome), reason));
}

void EntryObserver::onCompleted(const RequestAttributes &attributes, Duration sinceStart)
{
    m_metrics
        .counter("burdockhead_requests_total",
                 {{"kind", attributes.m_kind.text()}, {"outcome", "completed"}})
        .add();
    m_metrics
        .distribution("burdockhead_request_duration_seconds", {{"kind", attributes.m_kind.text()}})
        .observe(toSeconds(sinceStart));
    m_events.record(EventType::RequestCompleted, eventSubject(attributes, {}),
                    fmt::format("after {:.3f} s", toSeconds(sinceStart)));
}

void EntryObserver::onFailed(const RequestAttributes &attributes, ErrorKind kind, RunState runState)
{
    m_metrics
        .counter("burdockhead_requests_total",
                 {{"kind", attributes.m_kind.text()}, {"outcome", burdockhead::toString(kind)}})
        .add();
    m_events.record(
        EventType::RequestFailed, eventSubject(attributes, {}),
        fmt::format("{}, {}", burdockhead::toString(kind), burdockhead::toString(runState)));
}

} // namespace burdockhead
