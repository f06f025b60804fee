#include <burdockhead/agent/agentcore.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/transport/workerpool.h>

#include <algorithm>

// Set-up, answers and periodic checks; agentcoreframes.cpp has what arrives from entries,
// agentcorework.cpp what happens at the endpoint.
namespace burdockhead {

namespace {

constexpr Milliseconds tickInterval{20};
constexpr Milliseconds probeInterval{250};

} // namespace

AgentCore::AgentCore(EndpointName endpoint, Incarnation incarnation, WorkerPool &pool,
                     EndpointClient &client, EventRing &events, AgentGate gate, std::uint64_t seed)
    : m_endpoint(std::move(endpoint))
    , m_incarnation(incarnation)
    , m_pool(pool)
    , m_client(client)
    , m_events(events)
    , m_gate(std::move(gate))
    , m_random(seed)
    , m_admission(AdmissionLimits{}, seed)
    , m_ledger(incarnation, LedgerLimits{})
{}

void AgentCore::start()
{
    tick();
    probeRegularly();
}

void AgentCore::takeConnection(const FrameConnectionPointer &connection, const HelloFrame &own)
{
    const auto weak = weak_from_this();
    connection->start(
        [weak](const FrameConnectionPointer &from, const Frame &frame) {
            if (const auto self = weak.lock())
                self->onFrame(from, frame);
        },
        [weak](const FrameConnectionPointer &from) {
            if (const auto self = weak.lock())
                self->onClosed(from);
        });
    connection->send(own);
}

void AgentCore::applyConfiguration(const Configuration &configuration)
{
    const Endpoint *endpoint = configuration.endpoint(m_endpoint);
    const EndpointGroup *group =
        endpoint == nullptr ? nullptr : configuration.group(endpoint->m_group);
    if (group == nullptr)
        return;
    AdmissionLimits limits;
    limits.m_coldLimit = group->m_coldLimit;
    limits.m_warmLimit = group->m_warmLimit;
    limits.m_queueLimit = group->m_queueLimit;
    const Lock lock(m_mutex);
    m_admission.setShares(configuration.m_workspaces);
    perform(m_admission.setLimits(limits, Clock::now()));
}

void AgentCore::startStopping()
{
    const Lock lock(m_mutex);
    m_stopping = true;
    perform(m_admission.startLeaving(Clock::now()));
}

void AgentCore::startLeaving()
{
    const Lock lock(m_mutex);
    perform(m_admission.startLeaving(Clock::now()));
}

void AgentCore::stopLeaving()
{
    const Lock lock(m_mutex);
    m_admission.stopLeaving();
}

bool AgentCore::drained() const
{
    const Lock lock(m_mutex);
    return m_admission.drained() && m_works.empty();
}

// Entries know from the configuration what is taken out for a time. A report says "leaving"
// only when this run of the agent stops for good, since nothing takes that word back.
LoadReport AgentCore::loadReport() const
{
    LoadReport load = m_admission.report();
    load.m_isLeaving = m_stopping;
    return load;
}

LoadReport AgentCore::report() const
{
    const Lock lock(m_mutex);
    return loadReport();
}

AgentCounters AgentCore::counters() const
{
    const Lock lock(m_mutex);
    return m_counters;
}

AgentCore::WorkPointer AgentCore::find(const RequestId &id) const
{
    const auto found = m_works.find(id);
    return found == m_works.end() ? nullptr : found->second;
}

void AgentCore::refuse(const AnswerSubscriber &subscriber, ErrorKind kind, RunState runState,
                       const std::string &reason, TimePoint comeBack)
{
    ++m_counters.m_refused;
    subscriber.m_connection->send(FailureFrame{subscriber.m_attempt, kind, runState, reason,
                                               comeBack, loadReport(), m_events.stamp()});
}

void AgentCore::record(EventType type, const RequestFacts &facts, const std::string &reason)
{
    m_events.record(type, {facts.m_id, facts.m_workspace, m_endpoint}, reason);
}

void AgentCore::refuseAll(AgentWork &work, ErrorKind kind, RunState runState,
                          const std::string &reason, TimePoint comeBack)
{
    for (const AnswerSubscriber &subscriber : work.m_subscribers)
        refuse(subscriber, kind, runState, reason, comeBack);
}

void AgentCore::send(AgentWork &work, const std::function<Frame(const AttemptId &)> &frameFor)
{
    for (const AnswerSubscriber &subscriber : work.m_subscribers)
        subscriber.m_connection->send(frameFor(subscriber.m_attempt));
}

void AgentCore::tick()
{
    const TimePoint now = Clock::now();
    {
        const Lock lock(m_mutex);
        const auto due = m_admission.nextTick();
        if (due && *due <= now)
            perform(m_admission.tick(now));
    }
    m_pool.runAt(now + tickInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
}

void AgentCore::probeRegularly()
{
    probe(0);
    m_pool.runAt(Clock::now() + probeInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->probeRegularly();
    });
}

} // namespace burdockhead
