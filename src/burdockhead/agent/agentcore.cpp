#include <burdockhead/agent/agentcore.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/transport/workerpool.h>

#include <algorithm>

// Setup, sending and periodic checks. agentcoreframes.cpp handles the frames of entries,
// agentcoreendpoint.cpp the calls to the endpoint.
namespace burdockhead {

namespace {

constexpr Milliseconds tickInterval{20};
constexpr Milliseconds probeInterval{250};

} // namespace

AgentCore::AgentCore(EndpointName endpoint, Incarnation incarnation, WorkerPool &pool,
                     EndpointClient &client, EventRing &events, AgentRefusalCheck refusalCheck,
                     std::uint64_t seed)
    : m_endpoint(std::move(endpoint))
    , m_incarnation(incarnation)
    , m_pool(pool)
    , m_client(client)
    , m_events(events)
    , m_refusalCheck(std::move(refusalCheck))
    , m_random(seed)
    , m_admission(AdmissionLimits{}, seed)
    , m_ledger(incarnation, LedgerLimits{})
{}

void AgentCore::start()
{
    tick();
    probePeriodically();
}

void AgentCore::addConnection(const FrameConnectionPointer &connection, const HelloFrame &hello)
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
    connection->send(hello);
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

void AgentCore::startShutdown()
{
    const Lock lock(m_mutex);
    m_isShuttingDown = true;
    perform(m_admission.startDraining(Clock::now()));
}

void AgentCore::startDraining()
{
    const Lock lock(m_mutex);
    perform(m_admission.startDraining(Clock::now()));
}

void AgentCore::stopDraining()
{
    const Lock lock(m_mutex);
    m_admission.stopDraining();
}

bool AgentCore::isDrained() const
{
    const Lock lock(m_mutex);
    return m_admission.isDrained() && m_requests.empty();
}

// Entries know from the configuration which data centres are taken out temporarily. The report
// says "leaving" only when this agent process shuts down, since no later report would clear it.
LoadReport AgentCore::loadReportLocked() const
{
    LoadReport load = m_admission.loadReport();
    load.m_isLeaving = m_isShuttingDown;
    return load;
}

LoadReport AgentCore::loadReport() const
{
    const Lock lock(m_mutex);
    return loadReportLocked();
}

AgentCounters AgentCore::counters() const
{
    const Lock lock(m_mutex);
    return m_counters;
}

AgentCore::AgentRequestPointer AgentCore::find(const RequestId &id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second;
}

void AgentCore::refuse(const ResponseSubscriber &subscriber, ErrorKind kind, RunState runState,
                       const std::string &reason, TimePoint retryAfter)
{
    ++m_counters.m_refused;
    subscriber.m_connection->send(FailureFrame{subscriber.m_attempt, kind, runState, reason,
                                               retryAfter, loadReportLocked(), m_events.stamp()});
}

void AgentCore::record(EventType type, const RequestAttributes &attributes,
                       const std::string &reason)
{
    m_events.record(type, {attributes.m_id, attributes.m_workspace, m_endpoint}, reason);
}

void AgentCore::refuseAll(AgentRequest &request, ErrorKind kind, RunState runState,
                          const std::string &reason, TimePoint retryAfter)
{
    for (const ResponseSubscriber &subscriber : request.m_subscribers)
        refuse(subscriber, kind, runState, reason, retryAfter);
}

void AgentCore::send(AgentRequest &request, const std::function<Frame(const AttemptId &)> &frameFor)
{
    for (const ResponseSubscriber &subscriber : request.m_subscribers)
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

void AgentCore::probePeriodically()
{
    probe(0);
    m_pool.runAt(Clock::now() + probeInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->probePeriodically();
    });
}

} // namespace burdockhead
