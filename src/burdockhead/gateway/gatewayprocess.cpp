#include <burdockhead/gateway/callrouter.h>
#include <burdockhead/gateway/gatewayprocess.h>
#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/gateway/peerlink.h>
#include <burdockhead/gateway/quarantineadmin.h>
#include <burdockhead/gateway/quarantinestore.h>
#include <burdockhead/gateway/rankreports.h>
#include <burdockhead/gateway/removalguard.h>
#include <burdockhead/gateway/storefollower.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/process/processstart.h>

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace burdockhead {

namespace {

// How long clients may cache the gateway addresses; they query once in this time.
constexpr Milliseconds addressTtl{2000};
constexpr Milliseconds logFlushInterval{50};
// How long requests are kept after the start for the first configuration, which an available store
// sends within milliseconds.
constexpr Milliseconds maxStartTime{500};
constexpr Milliseconds updateInterval{250};
constexpr Milliseconds settingsCheckInterval{1000};
// Fraction of the shutdown grace period in which requests are still accepted: later ones might not
// finish in time, as the longest streams take about five eighths of it.
constexpr int acceptFractionNumerator = 3;
constexpr int acceptFractionDenominator = 8;
// Counted back from the end of the grace period: when idle connections are closed, when the process
// may exit if no request is open, and when it exits regardless.
constexpr Milliseconds closeIdleBeforeEnd{4000};
constexpr Milliseconds mayExitBeforeEnd{2500};
constexpr Milliseconds exitBeforeEnd{600};
constexpr Milliseconds stopPollInterval{50};
constexpr int statusOk = 200;
constexpr int statusMalformed = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
// How long a stopping process waits for the requests of clients that have connected last.
constexpr Milliseconds lastRequestsTime{200};

// Reads the settings file again; none if it is invalid.
using ReadGatewaySettings = std::function<std::optional<GatewaySettings>()>;

// Owns and connects all components of a gateway.
class GatewayProcess
{
public:
    GatewayProcess(const GatewaySettings &settings, const GatewayProtocols &protocols,
                   ReadGatewaySettings readSettings);

    bool start(std::string &error);
    void run() { m_loop.run(); }

private:
    StoreFollowerDependencies followerParts();
    PeerRecord initialRecord() const;
    bool applyConfigurationChanges(const std::vector<StoreChange> &changes);
    bool applyEndpointChanges(const std::vector<StoreChange> &changes, TimePoint madeAfter,
                              const char *source);
    void applyEndpointList(const std::vector<StoreChange> &changes, TimePoint madeAfter);
    void removeEndpoint(const StoreChange &change, TimePoint madeAfter, const char *source);
    bool applyDataCentreChanges(const std::vector<StoreChange> &changes);
    void applyDataCentreList(const std::vector<StoreChange> &changes);
    void setDataCentreOut(const std::string &name, bool isOut);
    void updateReadiness();
    void refresh();
    void exchangeRevisions();
    void writeLines();
    void reload();
    void scheduleSettingsCheck();
    void stop();
    void continueStop();
    void endStop(TimePoint deadline);
    void handleReadiness(HttpExchange &exchange);
    void handleAddresses(HttpExchange &exchange);
    void handleMetrics(HttpExchange &exchange);
    void handleCoordinator(const std::shared_ptr<HttpExchange> &exchange);
    void handleRankReport(HttpExchange &exchange);
    void updateLoads();
    void updateQuarantines();
    void logPromptGuardEvents();
    void reportRestarts(const EndpointRegistration &registration,
                        const KnownEndpointPointer &previous);

    GatewaySettings m_settings;
    const GatewayProtocols m_protocols;
    const ReadGatewaySettings m_readSettings;
    EventLoop m_loop;
    LineSink m_log;
    Metrics m_metrics;
    HttpClientPool m_endpointClient;
    HttpClientPool m_storeClient;
    EndpointTable m_endpoints;
    RemovalGuard m_removalGuard;
    PeerTable m_peers;
    LoadTable m_loads;
    PromptGuard m_promptGuard;
    RankReports m_rankReports;
    PeerLink m_peerLink;
    CallRouter m_router;
    StoreOutage m_storeOutage;
    StoreFollower m_configurationFollower;
    StoreFollower m_endpointFollower;
    StoreFollower m_dataCentreFollower;
    QuarantineStore m_quarantineStore;
    HttpListener m_clientListener;
    HttpListener m_readinessListener;
    HttpListener m_directoryListener;
    HttpListener m_metricsListener;
    OrderRelay m_orderRelay;
    HttpListener m_orderListener;                // Same port as gossip, which uses datagrams.
    TimePoint m_stopDeadline = TimePoint::max(); // Set once SIGTERM is received.
};

GatewayProcess::GatewayProcess(const GatewaySettings &settings, const GatewayProtocols &protocols,
                               ReadGatewaySettings readSettings)
    : m_settings(settings)
    , m_protocols(protocols)
    , m_readSettings(std::move(readSettings))
    , m_log(STDOUT_FILENO, settings.m_name.text(), LineSink::Options())
    , m_endpointClient(m_loop)
    , m_storeClient(m_loop)
    , m_endpoints(Random(systemSeed()))
    , m_peers(initialRecord(), settings.m_seeds, Random(systemSeed()))
    , m_loads(settings.m_name, m_peers.local().m_incarnation, Random(systemSeed()))
    , m_promptGuard(settings.m_name)
    , m_peerLink(m_loop, m_peers, m_loads, m_promptGuard)
    , m_router({m_loop, m_endpointClient, protocols.m_calls, m_endpoints, m_peers, m_loads,
                m_promptGuard, m_log, m_metrics, m_settings.m_bounds},
               Random(systemSeed()))
    , m_configurationFollower(
          followerParts(), StoreCollection::Configuration,
          {[this](const auto &changes, TimePoint) { applyConfigurationChanges(changes); },
           [this](const auto &changes, TimePoint) { return applyConfigurationChanges(changes); }},
          Random(systemSeed()))
    , m_endpointFollower(followerParts(), StoreCollection::Endpoints,
                         {[this](const auto &changes, TimePoint madeAfter) {
                              applyEndpointList(changes, madeAfter);
                          },
                          [this](const auto &changes, TimePoint madeAfter) {
                              return applyEndpointChanges(changes, madeAfter, "watch");
                          }},
                         Random(systemSeed()))
    , m_dataCentreFollower(
          followerParts(), StoreCollection::DataCentresOut,
          {[this](const auto &changes, TimePoint) { applyDataCentreList(changes); },
           [this](const auto &changes, TimePoint) { return applyDataCentreChanges(changes); }},
          Random(systemSeed()))
    , m_quarantineStore(m_loop, m_storeClient, protocols.m_store, settings.m_store, m_promptGuard,
                        m_log, [this] { updateReadiness(); })
    , m_clientListener(m_loop, [this](const auto &exchange) { m_router.handle(exchange); })
    , m_readinessListener(m_loop, [this](const auto &exchange) { handleReadiness(*exchange); })
    , m_directoryListener(m_loop, [this](const auto &exchange) { handleAddresses(*exchange); })
    , m_metricsListener(m_loop, [this](const auto &exchange) { handleMetrics(*exchange); })
    , m_orderRelay(m_loop, m_endpointClient, m_endpoints, m_log)
    , m_orderListener(m_loop, [this](const auto &exchange) { handleCoordinator(exchange); })
{}

StoreFollowerDependencies GatewayProcess::followerParts()
{
    return {m_loop, m_storeClient, m_protocols.m_store, m_settings.m_store,
            m_log,  m_metrics,     m_storeOutage};
}

PeerRecord GatewayProcess::initialRecord() const
{
    PeerRecord record;
    record.m_name = m_settings.m_name;
    record.m_incarnation = newIncarnation().m_value;
    record.m_clientAddress = m_settings.m_clients;
    record.m_gossipAddress = m_settings.m_peers;
    return record;
}

bool GatewayProcess::start(std::string &error)
{
    m_loop.onSignal(SIGTERM, [this] { stop(); });
    m_loop.onSignal(SIGINT, [this] { stop(); });
    m_loop.onSignal(SIGHUP, [this] { reload(); });
    if (!m_clientListener.start(m_settings.m_clients, error)
        || !m_readinessListener.start(m_settings.m_readiness, error)
        || !m_directoryListener.start(m_settings.m_directory, error)
        || !m_metricsListener.start(m_settings.m_metrics, error)
        || !m_orderListener.start(m_settings.m_peers, error)
        || !m_peerLink.start(m_settings.m_peers, error))
        return false;
    m_configurationFollower.start();
    m_endpointFollower.start();
    m_dataCentreFollower.start();
    m_quarantineStore.refresh(false, Clock::now());
    m_loop.callAt(Clock::now() + maxStartTime, [this] { m_router.open(); });
    refresh();
    writeLines();
    scheduleSettingsCheck();
    m_log.add("started", {{"clients", m_settings.m_clients.toString()},
                          {"incarnation", std::to_string(m_peers.local().m_incarnation)}});
    return true;
}

bool GatewayProcess::applyConfigurationChanges(const std::vector<StoreChange> &changes)
{
    for (const StoreChange &change : changes) {
        if (const auto *invalid = std::get_if<UnusableObject>(&change.m_value)) {
            m_log.add("configuration_unusable",
                      {{"name", change.m_name}, {"reason", invalid->m_reason}});
            continue;
        }
        const auto *configuration = std::get_if<GatewayConfigurationPointer>(&change.m_value);
        if (change.m_isRemoved || configuration == nullptr)
            continue;
        const bool isApplied = m_router.applyConfiguration(*configuration);
        if (isApplied)
            m_clientListener.setLimits((*configuration)->limits());
        m_log.add(isApplied ? "configuration_applied" : "configuration_ignored",
                  {{"version", std::to_string((*configuration)->version())},
                   {"in_force", std::to_string(m_router.configuration()->version())},
                   {"routes", std::to_string((*configuration)->routes().size())}});
    }
    updateReadiness();
    return true;
}

void GatewayProcess::removeEndpoint(const StoreChange &change, TimePoint madeAfter,
                                    const char *source)
{
    const EndpointName name(change.m_name);
    const auto endpoint = m_endpoints.find(name);
    if (!endpoint || endpoint->m_usableUntil != TimePoint::max())
        return;
    const TimePoint now = Clock::now();
    m_promptGuard.recordGone({name, endpoint->m_registration.m_startedAt}, now);
    m_endpoints.remove(name, now);
    const std::size_t remaining = m_endpoints.registeredCount(endpoint->m_registration.m_service);
    // One that is leaving or replaced has got no requests for some time.
    if (!endpoint->m_registration.m_isLeaving && !endpoint->m_isReplaced)
        endpoint->m_usableUntil =
            m_removalGuard.usableUntil({endpoint->m_registration.m_service, remaining, madeAfter},
                                       m_settings.m_bounds.m_leaveTime, now);
    const auto maxAge = std::chrono::duration_cast<Milliseconds>(now - madeAfter);
    const auto usableTime = millisecondsUntil(endpoint->m_usableUntil, now);
    m_log.add("endpoint_gone", {{"endpoint", change.m_name},
                                {"source", source},
                                {"revision", std::to_string(change.m_revision)},
                                {"max_age_ms", std::to_string(maxAge.count())},
                                {"remaining", std::to_string(remaining)},
                                {"usable_ms", std::to_string(usableTime)}});
}

// The source is the kind of call that returned the changes, which were made after that time.
bool GatewayProcess::applyEndpointChanges(const std::vector<StoreChange> &changes,
                                          TimePoint madeAfter, const char *source)
{
    const TimePoint now = Clock::now();
    bool hasNewChanges = false;
    for (const StoreChange &change : changes) {
        if (const auto *invalid = std::get_if<UnusableObject>(&change.m_value)) {
            m_log.add("endpoint_unusable",
                      {{"name", change.m_name}, {"reason", invalid->m_reason}});
            m_endpoints.remove(EndpointName(change.m_name), now);
            continue;
        }
        const auto *registration = std::get_if<EndpointRegistration>(&change.m_value);
        if (change.m_isRemoved || registration == nullptr) {
            removeEndpoint(change, madeAfter, source);
            hasNewChanges = true;
            continue;
        }
        const auto previous = m_endpoints.find(registration->m_name);
        hasNewChanges |= !previous || previous->m_registration != *registration;
        const bool wasLeaving = previous && previous->m_registration.m_isLeaving;
        const bool isNew = m_endpoints.update(*registration);
        if (isNew)
            reportRestarts(*registration, previous);
        if (isNew || wasLeaving != registration->m_isLeaving)
            m_log.add(isNew ? "endpoint_new" : "endpoint_changed",
                      {{"endpoint", change.m_name},
                       {"service", registration->m_service.text()},
                       {"address", registration->m_address.toString()},
                       {"leaving", registration->m_isLeaving ? "yes" : "no"}});
    }
    updateReadiness();
    m_router.refresh();
    return hasNewChanges;
}

// An endpoint that has started ends the one that had its name or its address.
void GatewayProcess::reportRestarts(const EndpointRegistration &registration,
                                    const KnownEndpointPointer &previous)
{
    const TimePoint now = Clock::now();
    if (previous)
        m_promptGuard.recordGone(
            {previous->m_registration.m_name, previous->m_registration.m_startedAt}, now);
    for (const auto &[name, other] : m_endpoints.endpoints()) {
        if (other->m_isReplaced && other->m_registration.m_address == registration.m_address)
            m_promptGuard.recordGone({name, other->m_registration.m_startedAt}, now);
    }
}

// Applies a full list; endpoints that it doesn't contain are removed.
void GatewayProcess::applyEndpointList(const std::vector<StoreChange> &changes, TimePoint madeAfter)
{
    std::vector<StoreChange> allChanges = changes;
    for (const auto &item : m_endpoints.endpoints()) {
        const std::string &name = item.first.text();
        const bool isListed =
            std::any_of(changes.begin(), changes.end(),
                        [&](const StoreChange &change) { return change.m_name == name; });
        if (!isListed)
            allChanges.push_back({name, true, 0, {}});
    }
    applyEndpointChanges(allChanges, madeAfter, "list");
}

void GatewayProcess::setDataCentreOut(const std::string &name, bool isOut)
{
    if (m_endpoints.isDataCentreOut(DataCentreName(name)) == isOut)
        return;
    m_endpoints.setDataCentreOut(DataCentreName(name), isOut);
    m_log.add(isOut ? "data_centre_out" : "data_centre_back", {{"data_centre", name}});
}

bool GatewayProcess::applyDataCentreChanges(const std::vector<StoreChange> &changes)
{
    for (const StoreChange &change : changes)
        setDataCentreOut(change.m_name, !change.m_isRemoved);
    m_router.refresh();
    return true;
}

void GatewayProcess::applyDataCentreList(const std::vector<StoreChange> &changes)
{
    for (const DataCentreName &name : m_endpoints.dataCentresOut()) {
        const bool isListed =
            std::any_of(changes.begin(), changes.end(),
                        [&](const StoreChange &change) { return change.m_name == name.text(); });
        if (!isListed)
            setDataCentreOut(name.text(), false);
    }
    applyDataCentreChanges(changes);
    updateReadiness();
}

void GatewayProcess::updateReadiness()
{
    if (m_peers.local().m_state == PeerState::Starting && m_router.configuration()
        && m_endpointFollower.isListed() && m_dataCentreFollower.isListed()
        && m_quarantineStore.isRead()) {
        m_peers.setState(PeerState::Ready);
        m_peerLink.broadcast();
        m_router.open();
        m_log.add("ready", {{"config", std::to_string(m_router.configuration()->version())}});
    }
}

// Publishes the applied store revisions to the other gateways, and restarts watches that have
// missed revisions which others have applied.
void GatewayProcess::exchangeRevisions()
{
    const TimePoint now = Clock::now();
    const std::array<StoreFollower *, storeCollectionCount> followers = {
        &m_configurationFollower, &m_endpointFollower, &m_dataCentreFollower};
    StoreRevisions localRevisions = {};
    for (std::size_t index = 0; index < storeCollectionCount; ++index)
        localRevisions[index] = followers[index]->newestRevision();
    m_peers.setNewestRevisions(localRevisions);
    const StoreRevisions newestRevisions = m_peers.newestRevisions(now);
    const std::size_t gatewayCount = m_peers.livePeers(now).size() + 1;
    for (std::size_t index = 0; index < storeCollectionCount; ++index) {
        followers[index]->setGatewayCount(gatewayCount);
        followers[index]->onRevisionKnownElsewhere(newestRevisions[index]);
    }
}

void GatewayProcess::refresh()
{
    exchangeRevisions();
    m_endpoints.removeExpired(Clock::now());
    m_router.refresh();
    updateLoads();
    updateQuarantines();
    m_loop.callAt(Clock::now() + updateInterval, [this] { refresh(); });
}

void GatewayProcess::writeLines()
{
    m_log.flush();
    m_loop.callAt(Clock::now() + logFlushInterval, [this] { writeLines(); });
}

void GatewayProcess::reload()
{
    const auto settings = m_readSettings();
    if (!settings) {
        m_log.add("reload_failed", {});
        return;
    }
    if (*settings == m_settings)
        return;
    m_settings.m_bounds = settings->m_bounds;
    m_settings.m_seeds = settings->m_seeds;
    m_peers.setSeeds(settings->m_seeds);
    m_log.add("reloaded", {{"seeds", std::to_string(settings->m_seeds.size())}});
}

void GatewayProcess::scheduleSettingsCheck()
{
    m_loop.callAt(Clock::now() + settingsCheckInterval, [this] {
        reload();
        scheduleSettingsCheck();
    });
}

void GatewayProcess::stop()
{
    if (m_stopDeadline != TimePoint::max())
        return;
    m_stopDeadline = Clock::now() + m_settings.m_bounds.m_stopGrace;
    m_log.add("stopping", {{"open_requests", std::to_string(m_router.openRequests())}});
    m_peers.setState(PeerState::Leaving);
    m_peerLink.broadcast();
    m_clientListener.closeAfterAnswers();
    continueStop();
}

// Clients cache gateway addresses, some for longer than permitted, so the gateway keeps serving for
// most of its grace period.
void GatewayProcess::continueStop()
{
    const TimePoint now = Clock::now();
    if (now >= m_stopDeadline - closeIdleBeforeEnd)
        m_clientListener.closeIdle();
    const Milliseconds grace = m_settings.m_bounds.m_stopGrace;
    if (now >= m_stopDeadline - grace + grace * acceptFractionNumerator / acceptFractionDenominator)
        m_router.refuseNew();
    const bool isDone = now >= m_stopDeadline - mayExitBeforeEnd && m_router.openRequests() == 0;
    if (isDone || now >= m_stopDeadline - exitBeforeEnd) {
        m_clientListener.stopAccepting();
        endStop(now + lastRequestsTime);
        return;
    }
    m_loop.callAt(now + stopPollInterval, [this] { continueStop(); });
}

// Clients that had connected before the port was closed still get a response.
void GatewayProcess::endStop(TimePoint deadline)
{
    const TimePoint now = Clock::now();
    if (m_clientListener.mayOweResponses() && now < deadline) {
        m_loop.callAt(now + stopPollInterval, [this, deadline] { endStop(deadline); });
        return;
    }
    m_log.add("stopped", {{"open_requests", std::to_string(m_router.openRequests())}});
    m_log.flush();
    m_loop.stop();
}

void GatewayProcess::handleReadiness(HttpExchange &exchange)
{
    const bool isReady = m_peers.local().m_state == PeerState::Ready;
    if (m_protocols.m_calls.isReadinessRequest(exchange.head()))
        exchange.answer(isReady ? statusOk : statusUnavailable, {}, "");
    else
        exchange.answer(statusNotFound, {}, "");
}

void GatewayProcess::handleAddresses(HttpExchange &exchange)
{
    if (!m_protocols.m_calls.isAddressRequest(exchange.head())) {
        exchange.answer(statusNotFound, {}, "");
        return;
    }
    const auto addresses = m_peers.readyClients(Clock::now());
    if (addresses.empty()) {
        exchange.answer(statusUnavailable, {}, "");
        return;
    }
    const GatewayResponse response = m_protocols.m_calls.addressResponse(addresses, addressTtl);
    exchange.answer(response.m_status, response.m_headers, response.m_body);
}

// Requests of groups' coordinators: orders to be relayed to a rank, and reports on ranks.
void GatewayProcess::handleCoordinator(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->head().m_target == rankReportTarget)
        handleRankReport(*exchange);
    else
        m_orderRelay.handle(exchange);
}

void GatewayProcess::handleRankReport(HttpExchange &exchange)
{
    const auto report = readRankReport(exchange.body());
    if (!report) {
        m_log.add("rank_report_unreadable", {{"bytes", std::to_string(exchange.body().size())}});
        exchange.answer(statusMalformed, {}, "");
        return;
    }
    const bool isNew = m_rankReports.record(*report, Clock::now());
    exchange.answer(statusOk, {}, "");
    if (!isNew)
        return;
    m_log.add("rank_report", {{"group", report->m_group},
                              {"slow_ranks", std::to_string(report->m_slowRanks.size())}});
    updateLoads();
    m_peerLink.broadcast();
}

// Publishes this gateway's load, and applies what is known of slow endpoints.
void GatewayProcess::updateLoads()
{
    const TimePoint now = Clock::now();
    m_loads.setServices(m_router.load());
    m_loads.setSlowEndpoints(m_rankReports.slowRanks(now));
    m_router.setSlowness(m_loads.slowEndpoints(now));
}

// Decides on quarantines, and tells the other gateways what is new.
void GatewayProcess::updateQuarantines()
{
    const TimePoint now = Clock::now();
    const GatewayPosition position = m_peers.localPosition(now);
    m_promptGuard.setPosition(position.m_index, position.m_count);
    m_promptGuard.refresh(now);
    logPromptGuardEvents();
    m_metrics.gauge("burdockhead_gateway_quarantined_parts")
        .set(static_cast<double>(m_promptGuard.quarantines().activeCount()));
    if (m_promptGuard.hasNews())
        m_peerLink.broadcastQuarantines();
    if (m_configurationFollower.isListed() && !m_storeOutage.isActive())
        m_quarantineStore.refresh(position.m_index == 0, now);
}

void GatewayProcess::logPromptGuardEvents()
{
    const TimePoint now = Clock::now();
    for (const PromptGuardEvent &event : m_promptGuard.takeEvents()) {
        if (const auto *crash = std::get_if<CrashReport>(&event)) {
            std::string suspects;
            for (const std::string &suspect : crash->m_suspects)
                suspects += (suspects.empty() ? "" : ",") + suspect;
            const auto age = std::chrono::duration_cast<Milliseconds>(now - crash->m_crashedAt);
            m_log.add("endpoint_crashed", {{"endpoint", crash->m_endpoint.m_name.text()},
                                           {"service", crash->m_service.text()},
                                           {"age_ms", std::to_string(age.count())},
                                           {"suspects", suspects}});
            continue;
        }
        const auto &entry = std::get<QuarantineEntry>(event);
        m_log.add(entry.m_isActive ? "part_quarantined" : "part_released",
                  {{"part", entry.m_part.m_id},
                   {"service", entry.m_part.m_service.text()},
                   {"revision", std::to_string(entry.m_revision)},
                   {"level", std::to_string(entry.m_level)},
                   {"outages", std::to_string(entry.m_outages)},
                   {"decided_by", entry.m_decidedBy.text()},
                   {"probe_ms", std::to_string(millisecondsUntil(entry.m_probeAt, now))}});
    }
}

// Metrics, and the operators' requests about quarantines.
void GatewayProcess::handleMetrics(HttpExchange &exchange)
{
    if (handleQuarantineRequest(m_promptGuard, exchange, Clock::now())) {
        updateQuarantines();
        return;
    }
    m_metrics.gauge("burdockhead_gateway_open_requests")
        .set(static_cast<double>(m_router.openRequests()));
    m_metrics.gauge("burdockhead_gateway_lines_dropped")
        .set(static_cast<double>(m_log.droppedLines()));
    m_metrics.gauge("burdockhead_gateway_endpoint_connections")
        .set(static_cast<double>(m_endpointClient.connectionsMade()));
    exchange.answer(statusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                    m_metrics.toPrometheus());
}

} // namespace

int runGateway(const GatewaySettings &settings, const GatewayProtocols &protocols,
               const std::function<std::optional<GatewaySettings>()> &readSettings)
{
    std::signal(SIGPIPE, SIG_IGN);
    initializeLog(settings.m_logLevel, settings.m_name.text());
    GatewayProcess process(settings, protocols, readSettings);
    std::string error;
    if (!process.start(error)) {
        logError("start_failed", {{"reason", error}});
        return 1;
    }
    process.run();
    return 0;
}

} // namespace burdockhead
