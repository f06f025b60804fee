// The part of Simulation that sends requests and follows them to their end.
#include "simulation.h"

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

constexpr Seconds requestDeadline{5};
constexpr double comeBackLowest = 0.5; // Seconds.
constexpr double comeBackHighest = 3;

} // namespace

// One sending of a request to a replica.
struct Simulation::Attempt
{
    RouteTarget m_target;
    std::shared_ptr<FakeJob> m_job = std::make_shared<FakeJob>();
    bool m_over = false;
};

// A request on its way.
struct Simulation::Flight
{
    RequestAttributes m_facts;
    RequestRecord m_record;
    unsigned m_entry = 0;
    double m_tokens = 0;
    std::vector<EndpointName> m_tried;
    std::vector<AttemptPointer> m_attempts;
    bool m_closed = false;
};

Simulation::FlightPointer Simulation::drawFlight()
{
    constexpr std::uint64_t spread = 0x9E3779B97F4A7C15;
    auto flight = std::make_shared<Flight>();
    std::uniform_int_distribution<unsigned> percent(0, 99);
    const unsigned dice = m_options.m_kinds ? percent(m_random) : 99;
    const char *kind = dice < 10 ? "payment" : dice < 30 ? "clause" : "digest";
    const RequestKind &configured = *m_configuration.kind(KindName(kind));
    RequestAttributes &facts = flight->m_facts;
    facts.m_id = RequestId::draw(m_random);
    facts.m_workspace = WorkspaceName("w");
    facts.m_kind = configured.m_name;
    facts.m_model = ModelName("m");
    facts.m_prefixHash = (m_prefixes(m_random) + 1) * spread;
    facts.m_priority = configured.m_priority;
    facts.m_repeatable = configured.m_repeatable;
    facts.m_deadline = m_events.now() + requestDeadline;
    flight->m_entry =
        std::uniform_int_distribution<unsigned>(0, m_options.m_entryCount - 1)(m_random);
    flight->m_tokens =
        1 + std::exponential_distribution<double>(1.0 / (FakeReplica::meanTokens - 1))(m_random);
    flight->m_record.m_arrival = m_events.now();
    flight->m_record.m_weight = configured.m_weight;
    return flight;
}

void Simulation::tryNext(const FlightPointer &flight)
{
    EntryRouter &router = m_routers[flight->m_entry];
    const RouteDecision decision = router.route(flight->m_facts, flight->m_tried, m_events.now());
    if (!decision.m_target)
        return comeBack(flight, decision.m_refusal->m_retryAfter);
    send(flight, *decision.m_target);
    if (m_options.m_hedges)
        scheduleHedge(flight);
}

void Simulation::send(const FlightPointer &flight, const RouteTarget &target)
{
    m_routers[flight->m_entry].onDispatched(target.m_endpoint, m_events.now());
    if (m_options.m_router.m_retries.m_unlimited)
        flight->m_tried.clear(); // Goes round for ever, but not to the same one twice in a row.
    flight->m_tried.push_back(target.m_endpoint);
    ++flight->m_record.m_attempts;
    const unsigned number = target.m_linkAddress.m_port - 1U;
    const Duration way = delay(flight->m_entry, number);
    const auto attempt = std::make_shared<Attempt>();
    flight->m_attempts.push_back(attempt);
    attempt->m_target = target;
    attempt->m_job->m_facts = flight->m_facts;
    attempt->m_job->m_tokens = flight->m_tokens;
    attempt->m_job->m_firstChunk = [this, flight, way](bool hit) {
        RequestRecord &record = flight->m_record;
        if (record.m_firstChunkSeconds > 0)
            return;
        const Duration elapsed = m_events.now() + way - record.m_arrival;
        record.m_firstChunkSeconds = std::chrono::duration<double>(elapsed).count();
        record.m_hit = hit;
    };
    attempt->m_job->m_end = [this, flight, attempt = std::weak_ptr(attempt),
                             way](AttemptOutcome outcome, const LoadReport &report) {
        const bool heard = outcome != AttemptOutcome::Unreachable;
        m_events.after(way, [this, flight, attempt = attempt.lock(), outcome,
                             report = heard ? std::optional(report) : std::nullopt] {
            ended(flight, attempt, outcome, report);
        });
    };
    m_events.after(way, [this, number, job = attempt->m_job] { m_replicas[number]->offer(job); });
}

void Simulation::scheduleHedge(const FlightPointer &flight)
{
    EntryRouter &router = m_routers[flight->m_entry];
    const auto hedgeAt = router.hedgeTime(flight->m_facts, m_events.now());
    if (!hedgeAt)
        return;
    m_events.after(*hedgeAt - m_events.now(), [this, flight, &router] {
        const bool waiting = !flight->m_closed && flight->m_record.m_firstChunkSeconds == 0;
        if (!waiting || !router.tryTakeHedge(flight->m_facts, m_events.now()))
            return;
        const auto decision = router.route(flight->m_facts, flight->m_tried, m_events.now());
        if (decision.m_target)
            send(flight, *decision.m_target);
    });
}

void Simulation::ended(const FlightPointer &flight, const AttemptPointer &attempt,
                       AttemptOutcome outcome, const std::optional<LoadReport> &report)
{
    if (attempt == nullptr || attempt->m_over)
        return;
    attempt->m_over = true;
    EntryRouter &router = m_routers[flight->m_entry];
    const TimePoint now = m_events.now();
    router.onAttemptEnded(attempt->m_target.m_endpoint, outcome, report, now,
                          attempt->m_target.m_incarnation);
    if (outcome == AttemptOutcome::Completed) {
        router.recordCompletion(flight->m_facts, now - flight->m_record.m_arrival);
        return close(flight, true);
    }
    const auto isOver = [](const AttemptPointer &each) { return each->m_over; };
    if (!std::all_of(flight->m_attempts.begin(), flight->m_attempts.end(), isOver))
        return;
    const bool refused = outcome == AttemptOutcome::RefusedNotRun;
    const RetryDecision decision = router.decideRetry(
        flight->m_facts, refused ? ErrorKind::Overloaded : ErrorKind::EndpointFailed,
        refused ? RunState::NotRun : RunState::Unknown, flight->m_record.m_attempts, now);
    if (decision.m_retryAt)
        return m_events.after(*decision.m_retryAt - now, [this, flight] { tryNext(flight); });
    if (!refused)
        return close(flight, false);
    std::uniform_real_distribution<double> spread(comeBackLowest, comeBackHighest);
    const std::chrono::duration<double> wait(spread(m_random));
    comeBack(flight, now + std::chrono::duration_cast<Duration>(wait));
}

void Simulation::cancelOthers(const FlightPointer &flight)
{
    for (const AttemptPointer &attempt : flight->m_attempts) {
        if (std::exchange(attempt->m_over, true))
            continue;
        const RouteTarget &target = attempt->m_target;
        m_routers[flight->m_entry].onAttemptEnded(target.m_endpoint, AttemptOutcome::Cancelled,
                                                  std::nullopt, m_events.now(),
                                                  target.m_incarnation);
        const unsigned number = target.m_linkAddress.m_port - 1U;
        m_events.after(delay(flight->m_entry, number),
                       [this, number, job = attempt->m_job] { m_replicas[number]->cancel(job); });
    }
    flight->m_attempts.clear();
}

// A caller told to come back does so if that is before its deadline.
void Simulation::comeBack(const FlightPointer &flight, TimePoint at)
{
    if (at >= flight->m_facts.m_deadline)
        return close(flight, false);
    flight->m_tried.clear();
    m_events.after(at - m_events.now(), [this, flight] { tryNext(flight); });
}

void Simulation::close(const FlightPointer &flight, bool completed)
{
    flight->m_closed = true;
    cancelOthers(flight);
    RequestRecord &record = flight->m_record;
    const Duration elapsed = m_events.now() - record.m_arrival;
    record.m_completionSeconds = std::chrono::duration<double>(elapsed).count();
    record.m_inTime = completed && m_events.now() <= flight->m_facts.m_deadline;
    m_measurements.add(record);
}

} // namespace burdockhead
