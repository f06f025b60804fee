#include <burdockhead/entry/agentlinks.h>
#include <burdockhead/entry/callerapi.h>
#include <burdockhead/entry/claimkeybinder.h>
#include <burdockhead/entry/entryobserver.h>
#include <burdockhead/entry/entryoperators.h>
#include <burdockhead/entry/entryprocess.h>
#include <burdockhead/entry/flowregistry.h>
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

constexpr unsigned workerThreads = 3;
constexpr std::size_t keptEvents = 16384;
constexpr Milliseconds drainPoll{50};

// One entry with everything that it consists of, in the order of their making.
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
    ClaimKeyBinder m_keys;
    FlowParts m_parts;
    FlowRegistry m_flows;
    CallerApi m_callers;
    EntryOperators m_entryOperators;
    OperatorsPort m_operators;
    HttpServer m_server;
};

MembershipOptions entryMembership(const EntrySettings &settings, Incarnation incarnation)
{
    MembershipOptions options = membershipOptions(settings, VmRole::Entry, incarnation);
    options.m_callerAddress = settings.m_callers;
    return options;
}

EntryProcess::EntryProcess(const EntrySettings &settings)
    : m_settings(settings)
    , m_incarnation(newIncarnation())
    , m_events(settings.m_name, keptEvents)
    , m_observer(m_metrics, m_events)
    , m_platform({settings.m_platform.m_text})
    , m_pool(workerThreads)
    , m_membership(entryMembership(settings, m_incarnation))
    , m_links(m_pool, {settings.m_name, m_incarnation, 0})
    , m_router(routerOptions(), Random(systemSeed()))
    , m_keys(m_platform, m_pool)
    , m_parts{m_pool, m_links, m_router, m_directory, m_keys, m_observer, m_events, systemSeed()}
    , m_callers(settings.m_limits, m_parts, m_flows, m_membership, systemSeed())
    , m_entryOperators(m_membership, m_events)
    , m_operators(settings.m_operators,
                  {m_metrics, m_events, [this] { return !m_callers.refusalNow(); },
                   [this] { updateMetrics(); },
                   [this](const HttpRequest &request, const auto &responder) {
                       m_entryOperators.handle(request, *responder);
                   }})
    , m_server(callerOptions(), [this](const HttpRequest &request, const auto &responder) {
        m_callers.handle(request, responder);
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
    return options;
}

void EntryProcess::applyConfiguration(const ConfigurationPointer &configuration)
{
    const auto entries = static_cast<unsigned>(m_membership.entries().size());
    const auto router = m_router.lock();
    router->applyConfiguration(configuration);
    router->setEntryCount(std::max(1U, entries));
    m_events.record(EventType::ConfigurationApplied, {},
                    "version " + std::to_string(configuration->m_version));
}

void EntryProcess::updateMetrics()
{
    const auto set = [this](const char *name, double value) { m_metrics.gauge(name).set(value); };
    const MembershipCounters control = m_membership.counters();
    const ClaimServiceCounters claims = m_keys.counters();
    const ConfigurationPointer configuration = m_membership.configuration();
    set("burdockhead_open_requests", static_cast<double>(m_flows.size()));
    set("burdockhead_open_links", static_cast<double>(m_links.openLinks()));
    set("burdockhead_control_sent_bytes_total", static_cast<double>(control.m_bytesSent));
    set("burdockhead_control_received_bytes_total", static_cast<double>(control.m_bytesReceived));
    set("burdockhead_platform_calls_total",
        static_cast<double>(control.m_platformCalls + claims.m_reads + claims.m_writes));
    set("burdockhead_claim_writes_total", static_cast<double>(claims.m_writes));
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
        m_directory.lock()->announce(announcement);
        const auto entries = static_cast<unsigned>(m_membership.entries().size());
        const auto router = m_router.lock();
        router->applyAnnouncement(announcement, Clock::now());
        router->setEntryCount(std::max(1U, entries));
    });
    if (!m_operators.start(failure.m_reason) || !m_membership.start(failure))
        return false;
    if (!m_server.start()) {
        failure = {ErrorKind::Internal, "callers' port: " + m_server.lastError()};
        return false;
    }
    m_events.record(EventType::ProcessStarted, {},
                    "incarnation " + std::to_string(m_incarnation.m_value));
    logInfo("started",
            {{"callers", m_settings.m_callers.toString()}, {"incarnation", m_incarnation.m_value}});
    return true;
}

// Vanishes from answers about addresses, and serves until every answer given before has
// ceased to hold and the last request has ended.
void EntryProcess::drain()
{
    m_events.record(EventType::ProcessDraining, {}, "stop");
    logInfo("draining", {{"open_requests", m_flows.size()}});
    m_callers.startLeaving();
    m_membership.setLeaving();
    const TimePoint last = Clock::now() + m_settings.m_limits.m_drainTimeout;
    // Other entries may have named this one in answers until they heard of its leaving.
    const TimePoint unknown = Clock::now() + 2 * m_settings.m_limits.m_addressLifetime;
    const TimePoint served = std::max(m_callers.addressesHoldUntil(), unknown);
    while (Clock::now() < last && (Clock::now() < served || m_flows.size() > 0))
        waitForStopSignalUntil(Clock::now() + drainPoll);
    m_events.record(EventType::ProcessStopped, {}, "");
    logInfo("stopped", {{"open_requests", m_flows.size()}});
    m_server.stop();
    m_membership.stop();
    m_pool.stop();
}

} // namespace

int runEntry(const EntrySettings &settings)
{
    return runProcess<EntryProcess>(settings);
}

} // namespace burdockhead
