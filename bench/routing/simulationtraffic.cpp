// Implements the request traffic of Simulation.
#include "simulation.h"

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

constexpr Seconds requestDeadline{5};
constexpr double minClientRetrySeconds = 0.5;
constexpr double maxClientRetrySeconds = 3;

} // namespace

// An attempt to run a request at a replica.
struct Simulation::Attempt
{
    RouteTarget m_target;
    std::shared_ptr<FakeJob> m_job = std::make_shared<FakeJob>();
    bool m_hasEnded = false;
};

// A request that has not been finished.
struct Simulation::PendingRequest
{
    RequestAttributes m_request;
    RequestRecord m_record;
    unsigned m_entry = 0;
    double m_tokens = 0;
    std::vector<EndpointName> m_tried;
    std::vector<AttemptPointer> m_attempts;
    bool m_isFinished = false;
};

Simulation::PendingRequestPointer Simulation::drawRequest()
{
    constexpr std::uint64_t hashMultiplier = 0x9E3779B97F4A7C15;
    auto pending = std::make_shared<PendingRequest>();
    std::uniform_int_distribution<unsigned> percent(0, 99);
    const unsigned kindDraw = m_options.m_hasMixedKinds ? percent(m_random) : 99;
    const char *kind = kindDraw < 10 ? "payment" : kindDraw < 30 ? "clause" : "digest";
    const RequestKind &configured = *m_configuration.kind(KindName(kind));
    RequestAttributes &request = pending->m_request;
    request.m_id = RequestId::draw(m_random);
    request.m_workspace = WorkspaceName("w");
    request.m_kind = configured.m_name;
    request.m_model = ModelName("m");
    request.m_prefixHash = (m_prefixes(m_random) + 1) * hashMultiplier;
    request.m_priority = configured.m_priority;
    request.m_repeatable = configured.m_repeatable;
    request.m_deadline = m_events.now() + requestDeadline;
    pending->m_entry =
        std::uniform_int_distribution<unsigned>(0, m_options.m_entryCount - 1)(m_random);
    pending->m_tokens =
        1 + std::exponential_distribution<double>(1.0 / (FakeReplica::meanTokens - 1))(m_random);
    pending->m_record.m_arrival = m_events.now();
    pending->m_record.m_weight = configured.m_weight;
    return pending;
}

void Simulation::tryNextReplica(const PendingRequestPointer &pending)
{
    EntryRouter &router = m_routers[pending->m_entry];
    const RouteDecision decision =
        router.route(pending->m_request, pending->m_tried, m_events.now());
    if (!decision.m_target)
        return scheduleClientRetry(pending, decision.m_refusal->m_retryAfter);
    send(pending, *decision.m_target);
    if (m_options.m_hasHedging)
        scheduleHedge(pending);
}

void Simulation::send(const PendingRequestPointer &pending, const RouteTarget &target)
{
    m_routers[pending->m_entry].onDispatched(target.m_endpoint, m_events.now());
    if (m_options.m_router.m_retries.m_isUnlimited)
        pending->m_tried.clear(); // Never tries the same replica twice in a row.
    pending->m_tried.push_back(target.m_endpoint);
    ++pending->m_record.m_attempts;
    const unsigned number = target.m_linkAddress.m_port - 1U;
    const Duration latency = networkDelay(pending->m_entry, number);
    const auto attempt = std::make_shared<Attempt>();
    pending->m_attempts.push_back(attempt);
    attempt->m_target = target;
    attempt->m_job->m_request = pending->m_request;
    attempt->m_job->m_tokens = pending->m_tokens;
    attempt->m_job->m_onFirstChunk = [this, pending, latency](bool hit) {
        RequestRecord &record = pending->m_record;
        if (record.m_firstChunkSeconds > 0)
            return;
        const Duration elapsed = m_events.now() + latency - record.m_arrival;
        record.m_firstChunkSeconds = std::chrono::duration<double>(elapsed).count();
        record.m_isPrefixHit = hit;
    };
    attempt->m_job->m_onEnd = [this, pending, attempt = std::weak_ptr(attempt),
                               latency](AttemptOutcome outcome, const LoadReport &report) {
        const bool isReachable = outcome != AttemptOutcome::Unreachable;
        m_events.schedule(latency, [this, pending, attempt = attempt.lock(), outcome,
                                    report = isReachable ? std::optional(report) : std::nullopt] {
            handleAttemptEnd(pending, attempt, outcome, report);
        });
    };
    m_events.schedule(latency,
                      [this, number, job = attempt->m_job] { m_replicas[number]->offer(job); });
}

void Simulation::scheduleHedge(const PendingRequestPointer &pending)
{
    EntryRouter &router = m_routers[pending->m_entry];
    const auto hedgeAt = router.hedgeTime(pending->m_request, m_events.now());
    if (!hedgeAt)
        return;
    m_events.schedule(*hedgeAt - m_events.now(), [this, pending, &router] {
        const bool isWaiting = !pending->m_isFinished && pending->m_record.m_firstChunkSeconds == 0;
        if (!isWaiting || !router.tryAcquireHedge(pending->m_request, m_events.now()))
            return;
        const auto decision = router.route(pending->m_request, pending->m_tried, m_events.now());
        if (decision.m_target)
            send(pending, *decision.m_target);
    });
}

void Simulation::handleAttemptEnd(const PendingRequestPointer &pending,
                                  const AttemptPointer &attempt, AttemptOutcome outcome,
                                  const std::optional<LoadReport> &report)
{
    if (attempt == nullptr || attempt->m_hasEnded)
        return;
    attempt->m_hasEnded = true;
    EntryRouter &router = m_routers[pending->m_entry];
    const TimePoint now = m_events.now();
    router.onAttemptEnded(attempt->m_target.m_endpoint, outcome, report, now,
                          attempt->m_target.m_incarnation);
    if (outcome == AttemptOutcome::Completed) {
        router.recordCompletion(pending->m_request, now - pending->m_record.m_arrival);
        return finish(pending, true);
    }
    const auto hasEnded = [](const AttemptPointer &each) { return each->m_hasEnded; };
    if (!std::all_of(pending->m_attempts.begin(), pending->m_attempts.end(), hasEnded))
        return;
    const bool isRefused = outcome == AttemptOutcome::RefusedNotRun;
    const RetryDecision decision = router.decideRetry(
        pending->m_request, isRefused ? ErrorKind::Overloaded : ErrorKind::EndpointFailed,
        isRefused ? RunState::NotRun : RunState::Unknown, pending->m_record.m_attempts, now);
    if (decision.m_retryAt)
        return m_events.schedule(*decision.m_retryAt - now,
                                 [this, pending] { tryNextReplica(pending); });
    if (!isRefused)
        return finish(pending, false);
    std::uniform_real_distribution<double> retryDelay(minClientRetrySeconds, maxClientRetrySeconds);
    const std::chrono::duration<double> wait(retryDelay(m_random));
    scheduleClientRetry(pending, now + std::chrono::duration_cast<Duration>(wait));
}

void Simulation::cancelOthers(const PendingRequestPointer &pending)
{
    for (const AttemptPointer &attempt : pending->m_attempts) {
        if (std::exchange(attempt->m_hasEnded, true))
            continue;
        const RouteTarget &target = attempt->m_target;
        m_routers[pending->m_entry].onAttemptEnded(target.m_endpoint, AttemptOutcome::Cancelled,
                                                   std::nullopt, m_events.now(),
                                                   target.m_incarnation);
        const unsigned number = target.m_linkAddress.m_port - 1U;
        m_events.schedule(
            networkDelay(pending->m_entry, number),
            [this, number, job = attempt->m_job] { m_replicas[number]->cancel(job); });
    }
    pending->m_attempts.clear();
}

// Retries a refused request at the given time if that is before the caller's deadline.
void Simulation::scheduleClientRetry(const PendingRequestPointer &pending, TimePoint at)
{
    if (at >= pending->m_request.m_deadline)
        return finish(pending, false);
    pending->m_tried.clear();
    m_events.schedule(at - m_events.now(), [this, pending] { tryNextReplica(pending); });
}

void Simulation::finish(const PendingRequestPointer &pending, bool completed)
{
    pending->m_isFinished = true;
    cancelOthers(pending);
    RequestRecord &record = pending->m_record;
    const Duration elapsed = m_events.now() - record.m_arrival;
    record.m_completionSeconds = std::chrono::duration<double>(elapsed).count();
    record.m_isInTime = completed && m_events.now() <= pending->m_request.m_deadline;
    m_measurements.add(record);
}

} // namespace burdockhead
