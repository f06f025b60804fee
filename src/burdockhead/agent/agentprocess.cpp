#include <burdockhead/agent/agentcore.h>
#include <burdockhead/agent/agentprocess.h>
#include <burdockhead/membership/membershipservice.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/observe/metrics.h>
#include <burdockhead/process/operatorsport.h>
#include <burdockhead/process/processstart.h>
#include <burdockhead/process/resourcelimits.h>
#include <burdockhead/process/runprocess.h>
#include <burdockhead/process/stopsignal.h>
#include <burdockhead/transport/framelistener.h>
#include <burdockhead/transport/workerpool.h>

#include <atomic>

namespace burdockhead {

namespace {

constexpr unsigned workerThreads = 2;
constexpr std::size_t eventRingCapacity = 4096;
constexpr Milliseconds drainPollInterval{50};
// Time for peers to receive the leaving announcement before the last links close.
constexpr Seconds leavingNoticeTime{1};

// The agent process and its services, in order of construction.
class AgentProcess
{
public:
    explicit AgentProcess(const AgentSettings &settings);

    bool start(Failure &failure);
    void drain();

private:
    // Returns why new requests are currently refused; none if they are accepted.
    std::optional<ErrorKind> currentRefusal() const;
    // Applies the limits, and drains or resumes if the endpoint or its data centre is taken out
    // or brought back.
    void applyConfiguration(const ConfigurationPointer &configuration);
    bool isDataCentreTakenOut() const;
    void updateMetrics();
    ReplicaAnnouncement announcement(ReplicaState state) const;

    const AgentSettings m_settings;
    const Incarnation m_incarnation;
    Metrics m_metrics;
    EventRing m_events;
    std::atomic<bool> m_isStopping = false;
    WorkerPool m_pool;
    EndpointClient m_client;
    MembershipService m_membership;
    std::shared_ptr<AgentCore> m_core;
    FrameListener m_listener;
    OperatorsPort m_operators;
};

MembershipOptions agentMembership(const AgentSettings &settings, Incarnation incarnation)
{
    MembershipOptions options = membershipOptions(settings, VmRole::Endpoint, incarnation);
    options.m_announcement = ReplicaAnnouncement{settings.m_endpoint, settings.m_dataCentre,
                                                 settings.m_link, incarnation, ReplicaState::Alive};
    return options;
}

FrameBudgetLimits linkBudgetLimits(const ResourceLimits &resources)
{
    const ClientBudgetLimits limits = clientBudgetLimits(resources, PortKind::Requests);
    return {limits.m_maxRequestBytes, limits.m_maxConnections};
}

AgentProcess::AgentProcess(const AgentSettings &settings)
    : m_settings(settings)
    , m_incarnation(newIncarnation())
    , m_events(settings.m_name, eventRingCapacity)
    , m_pool(workerThreads)
    , m_client(settings.m_endpointUrl.m_text, settings.m_probePath, settings.m_bootIdHeader)
    , m_membership(agentMembership(settings, m_incarnation))
    , m_core(std::make_shared<AgentCore>(
          settings.m_endpoint, m_incarnation, m_pool, m_client, m_events,
          [this] { return currentRefusal(); }, systemSeed()))
    , m_listener(
          m_pool, settings.m_link,
          [this](const FrameConnectionPointer &connection) {
              const ConfigurationPointer configuration = m_membership.configuration();
              m_core->addConnection(connection, {m_settings.m_name, m_incarnation,
                                                 configuration ? configuration->m_version : 0});
          },
          linkBudgetLimits(settings.m_resources))
    , m_operators(
          settings.m_operators, clientBudgetLimits(settings.m_resources, PortKind::Operators),
          {m_metrics, m_events, [this] { return !currentRefusal(); }, [this] { updateMetrics(); },
           [](const HttpRequest &request, const auto &responder) {
               respondUnknownPath(request, *responder);
           }})
{}

std::optional<ErrorKind> AgentProcess::currentRefusal() const
{
    if (m_isStopping)
        return ErrorKind::EndpointLeaving;
    const ConfigurationPointer current = m_membership.configuration();
    if (!m_membership.isReady() || !current)
        return ErrorKind::NotReady;
    const Endpoint *endpoint = current->m_configuration.endpoint(m_settings.m_endpoint);
    if (endpoint == nullptr || endpoint->m_leaving)
        return ErrorKind::EndpointLeaving;
    if (current->m_configuration.isTakenOut(endpoint->m_dataCentre))
        return ErrorKind::DataCentreOut;
    if (!m_membership.isCurrent())
        return ErrorKind::NotCurrent;
    return std::nullopt;
}

ReplicaAnnouncement AgentProcess::announcement(ReplicaState state) const
{
    return {m_settings.m_endpoint, m_settings.m_dataCentre, m_settings.m_link, m_incarnation,
            state};
}

void AgentProcess::applyConfiguration(const ConfigurationPointer &configuration)
{
    m_events.record(EventType::ConfigurationApplied, {std::nullopt, {}, m_settings.m_endpoint},
                    "version " + std::to_string(configuration->m_version));
    m_core->applyConfiguration(configuration->m_configuration);
    const Endpoint *endpoint = configuration->m_configuration.endpoint(m_settings.m_endpoint);
    const bool isOut = endpoint == nullptr || endpoint->m_leaving
                       || configuration->m_configuration.isTakenOut(endpoint->m_dataCentre);
    if (isOut)
        m_core->startDraining();
    else if (!m_isStopping)
        m_core->stopDraining();
}

void AgentProcess::updateMetrics()
{
    const LoadReport load = m_core->loadReport();
    const AgentCounters counters = m_core->counters();
    const MembershipCounters control = m_membership.counters();
    const ConfigurationPointer configuration = m_membership.configuration();
    const auto set = [this](const char *name, double value) { m_metrics.gauge(name).set(value); };
    set("burdockhead_endpoint_running_requests", load.m_running);
    set("burdockhead_endpoint_queued_requests", load.m_queued);
    set("burdockhead_endpoint_limit_requests", load.m_concurrencyLimit);
    set("burdockhead_endpoint_cold", load.m_isCold ? 1 : 0);
    set("burdockhead_agent_dispatches_total", static_cast<double>(counters.m_dispatches));
    set("burdockhead_agent_started_total", static_cast<double>(counters.m_started));
    set("burdockhead_agent_completed_total", static_cast<double>(counters.m_completed));
    set("burdockhead_agent_refused_total", static_cast<double>(counters.m_refused));
    set("burdockhead_agent_failed_total", static_cast<double>(counters.m_failed));
    set("burdockhead_agent_cancelled_total", static_cast<double>(counters.m_cancelled));
    set("burdockhead_agent_replayed_total", static_cast<double>(counters.m_replayed));
    set("burdockhead_agent_cold_signs_total", static_cast<double>(counters.m_coldStartSignals));
    set("burdockhead_control_sent_bytes_total", static_cast<double>(control.m_bytesSent));
    set("burdockhead_control_received_bytes_total", static_cast<double>(control.m_bytesReceived));
    set("burdockhead_platform_calls_total", static_cast<double>(control.m_platformCalls));
    set("burdockhead_configuration_version",
        configuration ? static_cast<double>(configuration->m_version) : 0);
}

bool AgentProcess::start(Failure &failure)
{
    m_membership.onConfiguration(
        [this](const ConfigurationPointer &configuration) { applyConfiguration(configuration); });
    if (!m_listener.start()) {
        failure = {ErrorKind::Internal, "link port: " + m_listener.lastError()};
        return false;
    }
    if (!m_operators.start(failure.m_reason) || !m_membership.start(failure))
        return false;
    m_core->start();
    m_events.record(EventType::ProcessStarted, {std::nullopt, {}, m_settings.m_endpoint},
                    "incarnation " + std::to_string(m_incarnation.m_value));
    logInfo("started",
            {{"endpoint", m_settings.m_endpoint.text()}, {"incarnation", m_incarnation.m_value}});
    return true;
}

void AgentProcess::drain()
{
    m_isStopping = true;
    m_events.record(EventType::EndpointLeaving, {std::nullopt, {}, m_settings.m_endpoint}, "stop");
    logInfo("draining", {{"running", m_core->loadReport().m_running}});
    m_membership.announce(announcement(ReplicaState::Leaving));
    m_membership.setLeaving();
    m_core->startShutdown();
    const TimePoint drainDeadline = Clock::now() + m_settings.m_limits.m_drainTimeout;
    const TimePoint noticeDeadline = Clock::now() + leavingNoticeTime;
    while (Clock::now() < noticeDeadline || (!m_core->isDrained() && Clock::now() < drainDeadline))
        waitForStopSignalUntil(Clock::now() + drainPollInterval);
    m_events.record(EventType::EndpointDrained, {std::nullopt, {}, m_settings.m_endpoint}, "");
    logInfo("stopped", {{"drained", m_core->isDrained() ? "yes" : "no"}});
    m_membership.stop();
    m_pool.stop();
}

} // namespace

int runAgent(const AgentSettings &settings)
{
    return runProcess<AgentProcess>(settings);
}

} // namespace burdockhead
