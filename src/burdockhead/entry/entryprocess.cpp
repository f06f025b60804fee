#include <burdockhead/entry/agentlinks.h>
#include <burdockhead/entry/callerapi.h>
#include <burdockhead/entry/claimkeybinder.h>
#include <burdockhead/entry/entryobserver.h>
#include <burdockhead/entry/entryprocess.h>
#include <burdockhead/entry/flowregistry.h>
#include <burdockhead/entry/operatorsapi.h>
#include <burdockhead/http/httpserver.h>
#include <burdockhead/membership/membershipservice.h>
#include <burdockhead/observe/eventring.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/observe/metrics.h>
#include <burdockhead/platform/httpobjectapi.h>
#include <burdockhead/process/operatorsport.h>
#include <burdockhead/process/processstart.h>
#include <burdockhead/process/runprocess.h>
#include <burdockhead/process/stopsignal.h>
#include <burdockhead/transport/workerpool.h>

#include <algorithm>

namespace burdockhead {

namespace {

constexpr unsigned workerThreadCount = 3;
constexpr std::size_t eventRingCapacity = 16384;
constexpr Milliseconds drainPollInterval{50};
// Reserved at the end of the drain time for the responses to requests that are still open.
constexpr Milliseconds lastResponsesTime{500};

// Owns the components of an entry process, declared in construction order.
class EntryProcess
{
public:
    explicit EntryProcess(const EntrySettings &settings);

    bool start(Failure &failure);
    void drain();

private:
    void applyConfiguration(const ConfigurationPointer &configuration);
    void updateMetrics();
    RouterOptions routerOptions() const;
    HttpServerOptions callerOptions() const;

    const EntrySettings m_settings;
    const Incarnation m_incarnation;
    Metrics m_metrics;
    EventRing m_events;
    EntryObserver m_observer;
    HttpObjectApi m_platform;
    WorkerPool m_pool;
    MembershipService m_membership;
    AgentLinks m_links;
    Guarded<EntryRouter> m_router;
    Guarded<ReplicaDirectory> m_directory;
    ClaimKeyBinder m_keyBinder;
    RequestFlowDependencies m_dependencies;
    FlowRegistry m_flows;
    CallerApi m_callerApi;
    OperatorsApi m_operatorsApi;
    OperatorsPort m_operatorsPort;
    HttpServer m_callerServer;
};

MembershipOptions entryMembershipOptions(const EntrySettings &settings, Incarnation incarnation)
{
    MembershipOptions options = membershipOptions(settings, VmRole::Entry, incarnation);
    options.m_callerAddress = settings.m_callers;
    return options;
}

EntryProcess::EntryProcess(const EntrySettings &settings)
    : m_settings(settings)
    , m_incarnation(newIncarnation())
    , m_events(settings.m_name, eventRingCapacity)
    , m_observer(m_metrics, m_events)
    , m_platform({settings.m_platform.m_text})
    , m_pool(workerThreadCount)
    , m_membership(entryMembershipOptions(settings, m_incarnation))
    , m_links(m_pool, {settings.m_name, m_incarnation, 0})
    , m_router(routerOptions(), Random(systemSeed()))
    , m_keyBinder(m_platform, m_pool)
    , m_dependencies{m_pool,      m_links,    m_router, m_directory,
                     m_keyBinder, m_observer, m_events, systemSeed()}
    , m_callerApi(settings.m_limits, m_dependencies, m_flows, m_membership, systemSeed())
    , m_operatorsApi(m_membership, m_events)
    , m_operatorsPort(settings.m_operators,
                      clientBudgetLimits(settings.m_resources, PortKind::Operators),
                      {m_metrics, m_events, [this] { return !m_callerApi.currentRefusal(); },
                       [this] { updateMetrics(); },
                       [this](const HttpRequest &request, const auto &responder) {
                           m_operatorsApi.handle(request, *responder);
                       }})
    , m_callerServer(callerOptions(), [this](const HttpRequest &request, const auto &responder) {
        m_callerApi.handle(request, responder);
    })
{}

RouterOptions EntryProcess::routerOptions() const
{
    RouterOptions options;
    options.m_localDataCentre = m_settings.m_dataCentre;
    return options;
}

HttpServerOptions EntryProcess::callerOptions() const
{
    HttpServerOptions options;
    options.m_listen = m_settings.m_callers;
    options.m_maxBodyBytes = m_settings.m_limits.m_maxBodyBytes;
    options.m_maxHeaderCount = m_settings.m_limits.m_maxHeaderCount;
    options.m_maxConnections = m_settings.m_limits.m_maxConnections;
    options.m_budget = clientBudgetLimits(m_settings.m_resources, PortKind::Requests);
    return options;
}

void EntryProcess::applyConfiguration(const ConfigurationPointer &configuration)
{
    const auto entryCount = static_cast<unsigned>(m_membership.entries().size());
    const auto router = m_router.lock();
    router->applyConfiguration(configuration);
    router->setEntryCount(std::max(1U, entryCount));
    m_events.record(EventType::ConfigurationApplied, {},
                    "version " + std::to_string(configuration->m_version));
}

void EntryProcess::updateMetrics()
{
    const auto set = [this](const char *name, double value) { m_metrics.gauge(name).set(value); };
    const MembershipCounters controlCounters = m_membership.counters();
    const ClaimServiceCounters claimCounters = m_keyBinder.counters();
    const ConfigurationPointer configuration = m_membership.configuration();
    set("burdockhead_open_requests", static_cast<double>(m_flows.size()));
    set("burdockhead_open_links", static_cast<double>(m_links.openLinkCount()));
    set("burdockhead_control_sent_bytes_total", static_cast<double>(controlCounters.m_bytesSent));
    set("burdockhead_control_received_bytes_total",
        static_cast<double>(controlCounters.m_bytesReceived));
    set("burdockhead_platform_calls_total",
        static_cast<double>(controlCounters.m_platformCalls + claimCounters.m_reads
                            + claimCounters.m_writes));
    set("burdockhead_claim_writes_total", static_cast<double>(claimCounters.m_writes));
    set("burdockhead_members_entries", static_cast<double>(m_membership.entries().size()));
    set("burdockhead_members_agents", static_cast<double>(m_membership.announcements().size()));
    set("burdockhead_configuration_version",
        configuration ? static_cast<double>(configuration->m_version) : 0);
    for (const EndpointSnapshot &endpoint : m_router.lock()->snapshot(Clock::now())) {
        const MetricLabels labels = {{"endpoint", endpoint.m_endpoint.text()}};
        m_metrics.gauge("burdockhead_endpoint_estimated_load_requests", labels)
            .set(endpoint.m_estimatedLoad);
        m_metrics.gauge("burdockhead_endpoint_breaker_open", labels)
            .set(endpoint.m_breakerState == BreakerState::Closed ? 0 : 1);
    }
}

bool EntryProcess::start(Failure &failure)
{
    m_membership.onConfiguration(
        [this](const ConfigurationPointer &configuration) { applyConfiguration(configuration); });
    m_membership.onAnnouncement([this](const ReplicaAnnouncement &announcement) {
        m_directory.lock()->applyAnnouncement(announcement);
        const auto entryCount = static_cast<unsigned>(m_membership.entries().size());
        const auto router = m_router.lock();
        router->applyAnnouncement(announcement, Clock::now());
        router->setEntryCount(std::max(1U, entryCount));
    });
    if (!m_operatorsPort.start(failure.m_reason) || !m_membership.start(failure))
        return false;
    if (!m_callerServer.start()) {
        failure = {ErrorKind::Internal, "callers' port: " + m_callerServer.lastError()};
        return false;
    }
    m_events.record(EventType::ProcessStarted, {},
                    "incarnation " + std::to_string(m_incarnation.m_value));
    logInfo("started",
            {{"callers", m_settings.m_callers.toString()}, {"incarnation", m_incarnation.m_value}});
    return true;
}

// Announces that this entry is leaving and stops extending the validity of its address. Then
// serves until every address list that names it has expired and all requests have ended, or
// until the drain time is over.
void EntryProcess::drain()
{
    m_events.record(EventType::ProcessDraining, {}, "stop");
    logInfo("draining", {{"open_requests", m_flows.size()}});
    m_callerApi.startLeaving();
    m_membership.setLeaving();
    const TimePoint drainDeadline = Clock::now() + m_settings.m_limits.m_drainTimeout;
    // Other entries may list this one until they receive its leaving state.
    const TimePoint otherAnswersValidUntil =
        Clock::now() + 2 * m_settings.m_limits.m_addressLifetime;
    const TimePoint servedUntil =
        std::max(m_callerApi.addressesValidUntil(), otherAnswersValidUntil);
    const auto isDone = [&] { return Clock::now() >= servedUntil && m_flows.size() == 0; };
    const auto waitUntil = [&](TimePoint time) {
        while (Clock::now() < time && !isDone()) {
            if (Clock::now() >= servedUntil)
                m_callerApi.refuseNew();
            waitForStopSignalUntil(Clock::now() + drainPollInterval);
        }
    };
    waitUntil(drainDeadline - lastResponsesTime);
    m_callerApi.refuseNew();
    m_flows.endAll();
    waitUntil(drainDeadline);
    m_events.record(EventType::ProcessStopped, {}, "");
    logInfo("stopped", {{"open_requests", m_flows.size()}});
    m_callerServer.stop();
    m_membership.stop();
    m_pool.stop();
}

} // namespace

int runEntry(const EntrySettings &settings)
{
    return runProcess<EntryProcess>(settings);
}

} // namespace burdockhead
