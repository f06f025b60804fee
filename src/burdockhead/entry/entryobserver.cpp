#include <burdockhead/entry/entryobserver.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/observe/metrics.h>

#include <fmt/format.h>

namespace burdockhead {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

EventSubject subject(const RequestAttributes &facts, const EndpointName &endpoint)
{
    return {facts.m_id, facts.m_workspace, endpoint};
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

void EntryObserver::accepted(const RequestAttributes &facts)
{
    m_metrics.counter("burdockhead_requests_received_total", {{"kind", facts.m_kind.text()}}).add();
    m_events.record(EventType::RequestReceived, subject(facts, {}), "kind " + facts.m_kind.text());
}

void EntryObserver::dispatched(const RequestAttributes &facts, const EndpointName &endpoint)
{
    m_metrics.counter("burdockhead_attempts_total", {{"kind", facts.m_kind.text()}}).add();
    m_events.record(EventType::RequestRouted, subject(facts, endpoint), "");
}

void EntryObserver::firstData(const RequestAttributes &facts, Duration sinceStart)
{
    m_metrics
        .distribution("burdockhead_first_data_duration_seconds", {{"kind", facts.m_kind.text()}})
        .observe(seconds(sinceStart));
}

void EntryObserver::attemptEnded(const RequestAttributes &facts, const EndpointName &endpoint,
                                 AttemptOutcome outcome, const std::string &reason)
{
    m_metrics
        .counter("burdockhead_attempts_ended_total",
                 {{"endpoint", endpoint.text()}, {"outcome", toString(outcome)}})
        .add();
    if (outcome != AttemptOutcome::Completed)
        m_events.record(EventType::RequestRetried, subject(facts, endpoint),
                        fmt::format("attempt {}: {}", toString(outcome), reason));
}

void EntryObserver::completed(const RequestAttributes &facts, Duration sinceStart)
{
    m_metrics
        .counter("burdockhead_requests_total",
                 {{"kind", facts.m_kind.text()}, {"outcome", "completed"}})
        .add();
    m_metrics.distribution("burdockhead_request_duration_seconds", {{"kind", facts.m_kind.text()}})
        .observe(seconds(sinceStart));
    m_events.record(EventType::RequestCompleted, subject(facts, {}),
                    fmt::format("after {:.3f} s", seconds(sinceStart)));
}

void EntryObserver::failed(const RequestAttributes &facts, ErrorKind kind, RunState runState)
{
    m_metrics
        .counter("burdockhead_requests_total",
                 {{"kind", facts.m_kind.text()}, {"outcome", burdockhead::toString(kind)}})
        .add();
    m_events.record(
        EventType::RequestFailed, subject(facts, {}),
        fmt::format("{}, {}", burdockhead::toString(kind), burdockhead::toString(runState)));
}

} // namespace burdockhead
