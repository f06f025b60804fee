#include <burdockhead/gateway/callrouter.h>
#include <burdockhead/gateway/gatewayprocess.h>
#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/gateway/peerlink.h>
#include <burdockhead/gateway/quarantineadmin.h>
#include <burdockhead/gateway/rankreports.h>
#include <burdockhead/gateway/storeupdates.h>
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
    PeerRecord initialRecord() const;
    void updateReadiness();
    void refresh();
    void writeLines();
    void reload();
    void scheduleSettingsCheck();
    void stop();
    void continueStop();
    void endStop(TimePoint deadline);
    void handleReadiness(HttpExchange &exchange);
    void handleAddresses(HttpExchange &exchange);
    void handleMetrics(HttpExchange &exchange);
    void handleControl(const std::shared_ptr<HttpExchange> &exchange);
    void handleRankReport(HttpExchange &exchange);
    void logRaisedIncarnation();
    void updateLoads();
    void updateQuarantines();
    void tellOfQuarantines();
    void onEndpointGone(const EndpointRun &endpoint);
    void updateRates();
    void exportRates();
    void logPromptGuardEvents();

    GatewaySettings m_settings;
    const GatewayProtocols m_protocols;
    const ReadGatewaySettings m_readSettings;
    EventLoop m_loop;
    LineSink m_log;
    Metrics m_metrics;
    HttpClientPool m_endpointClient;
    HttpClientPool m_storeClient;
    EndpointTable m_endpoints;
    PeerTable m_peers;
    std::uint64_t m_loggedIncarnation;
    LoadTable m_loads;
    PromptGuard m_promptGuard;
    EndpointProber m_prober;
    EndpointRates m_rates;
    RankReports m_rankReports;
    PeerLink m_peerLink;
    CallRouter m_router;
    StoreUpdates m_storeUpdates;
    const ClientBudgetPointer m_clientBudget; // Of all ports.
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
    , m_loggedIncarnation(m_peers.local().m_incarnation)
    , m_loads(settings.m_name, m_peers.local().m_incarnation, Random(systemSeed()))
    , m_promptGuard(settings.m_name)
    , m_prober(m_endpointClient, [this](const EndpointRun &endpoint) { onEndpointGone(endpoint); })
    , m_peerLink(m_loop, m_peers, m_loads, m_promptGuard, m_rates)
    , m_router({m_loop, m_endpointClient, protocols.m_calls, m_endpoints, m_peers, m_loads,
                m_promptGuard, m_prober, m_rates, m_log, m_metrics, m_settings.m_bounds},
               Random(systemSeed()))
    , m_storeUpdates(
          {m_loop, m_storeClient, protocols.m_store, m_settings.m_store, m_endpoints, m_peers,
           m_promptGuard, m_log, m_metrics, m_settings.m_bounds, m_settings.m_seeds,
           [this] { m_peerLink.broadcast(); }},
          [this](const auto &configuration) {
              m_router.setConfiguration(configuration);
              m_clientListener.setLimits(configuration->limits());
          },
          [this] {
              updateReadiness();
              m_router.refresh();
          })
    , m_clientBudget(std::make_shared<ClientBudget>(clientBudgetLimits(settings.m_resources)))
    , m_clientListener(
          m_loop, [this](const auto &exchange) { m_router.handle(exchange); }, m_clientBudget)
    , m_readinessListener(
          m_loop, [this](const auto &exchange) { handleReadiness(*exchange); }, m_clientBudget)
    , m_directoryListener(
          m_loop, [this](const auto &exchange) { handleAddresses(*exchange); }, m_clientBudget)
    , m_metricsListener(
          m_loop, [this](const auto &exchange) { handleMetrics(*exchange); }, m_clientBudget)
    , m_orderRelay(m_loop, m_endpointClient, m_endpoints, m_log)
    , m_orderListener(
          m_loop, [this](const auto &exchange) { handleControl(exchange); }, m_clientBudget)
{}

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
    if (m_settings.m_isFirstStart)
        m_peers.setFirstStart();
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
    m_storeUpdates.start();
    m_loop.callAt(Clock::now() + maxStartTime, [this] { m_router.open(); });
    refresh();
    writeLines();
    scheduleSettingsCheck();
    m_log.add("started", {{"clients", m_settings.m_clients.toString()},
                          {"incarnation", std::to_string(m_peers.local().m_incarnation)}});
    return true;
}

void GatewayProcess::updateReadiness()
{
    if (m_peers.local().m_state == PeerState::Starting && m_storeUpdates.isComplete()) {
        m_peers.setState(PeerState::Ready);
        m_peerLink.broadcast();
        m_router.open();
        m_log.add("ready", {{"config", std::to_string(m_router.configuration()->version())}});
    }
}

void GatewayProcess::refresh()
{
    m_storeUpdates.refresh(Clock::now());
    m_endpoints.removeExpired(Clock::now());
    m_router.refresh();
    logRaisedIncarnation();
    updateLoads();
    updateQuarantines();
    updateRates();
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
    m_settings.m_isFirstStart = settings->m_isFirstStart; // Matters at the start only.
    m_settings.m_bounds = settings->m_bounds;
    m_settings.m_seeds = settings->m_seeds;
    m_peers.setSeeds(settings->m_seeds);
    m_router.refresh();
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
    m_router.refuseUnlessDoneBy(m_stopDeadline - exitBeforeEnd);
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
    const bool isDone = now >= m_stopDeadline - mayExitBeforeEnd && m_router.openRequests() == 0
                        && !m_clientListener.isSendingResponses();
    if (isDone || now >= m_stopDeadline - exitBeforeEnd) {
        m_router.endAll();
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

// Requests of groups' coordinators, which are orders to be relayed to a rank and reports on ranks,
// and of other gateways.
void GatewayProcess::handleControl(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->head().m_target == rankReportTarget)
        handleRankReport(*exchange);
    else if (const auto state = m_storeUpdates.peerResponse(exchange->head()))
        exchange->answer(statusOk, {}, *state);
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

void GatewayProcess::logRaisedIncarnation()
{
    const std::uint64_t incarnation = m_peers.local().m_incarnation;
    if (incarnation == m_loggedIncarnation)
        return;
    m_log.add("incarnation_raised",
              {{"from", std::to_string(m_loggedIncarnation)}, {"to", std::to_string(incarnation)}});
    m_loggedIncarnation = incarnation;
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
    m_metrics.gauge("burdockhead_gateway_quarantined_parts")
        .set(static_cast<double>(m_promptGuard.quarantines().activeCount()));
    tellOfQuarantines();
}

void GatewayProcess::tellOfQuarantines()
{
    logPromptGuardEvents();
    if (m_promptGuard.hasNews())
        m_peerLink.broadcastQuarantines();
}

// The other gateways are told at once: a request that crashes endpoints may come to one of them
// next.
void GatewayProcess::onEndpointGone(const EndpointRun &endpoint)
{
    m_promptGuard.recordGone(endpoint, Clock::now());
    tellOfQuarantines();
}

// Tells the other gateways of rates that endpoints have begun or ceased to name.
void GatewayProcess::updateRates()
{
    m_rates.removeExpired(Clock::now());
    if (m_rates.hasNews())
        m_peerLink.broadcastRates();
    for (const RateEvent &event : m_rates.takeEvents()) {
        const RateStatement &statement = event.m_statement;
        const auto age =
            std::chrono::duration_cast<Milliseconds>(Clock::now() - statement.m_respondedAt);
        m_log.add(toString(event.m_change),
                  {{"endpoint", statement.m_endpoint.m_name.text()},
                   {"rate", rateText(statement.m_requestsPerSecond)},
                   {"source", event.m_source == RateSource::Response ? "response" : "gateway"},
                   {"age_ms", std::to_string(age.count())}});
    }
}

// Endpoints that name no rate any more are exported with their last counts.
void GatewayProcess::exportRates()
{
    for (const auto &[name, endpoint] : m_endpoints.endpoints()) {
        const auto &pace = endpoint->m_pacer.pace();
        if (!pace && endpoint->m_pacedRequests == 0 && endpoint->m_passedOver == 0)
            continue;
        const MetricLabels labels = {{"endpoint", name.text()}};
        m_metrics.gauge("burdockhead_gateway_endpoint_rate", labels)
            .set(endpoint->m_namedRate.value_or(0));
        m_metrics.gauge("burdockhead_gateway_endpoint_rate_share", labels)
            .set(pace ? pace->m_requestsPerSecond : 0);
        m_metrics.gauge("burdockhead_gateway_endpoint_rate_requests", labels)
            .set(static_cast<double>(endpoint->m_pacedRequests));
        m_metrics.gauge("burdockhead_gateway_endpoint_rate_passed_over", labels)
            .set(static_cast<double>(endpoint->m_passedOver));
    }
}

void GatewayProcess::logPromptGuardEvents()
{
    const TimePoint now = Clock::now();
    for (const PromptGuardEvent &event : m_promptGuard.takeEvents()) {
        if (const auto *crash = std::get_if<CrashReport>(&event)) {
            std::string suspects;
            for (const std::string &suspect : crash->m_suspects)
                suspects += (suspects.empty() ? "" : ",") + suspect;
            for (const auto &[request, sentAt] : crash->m_requests)
                suspects += (suspects.empty() ? "" : ",") + request;
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
    exportRates();
    m_metrics.gauge("burdockhead_gateway_open_requests")
        .set(static_cast<double>(m_router.openRequests()));
    m_metrics.gauge("burdockhead_gateway_lines_dropped")
        .set(static_cast<double>(m_log.droppedLines()));
    m_metrics.gauge("burdockhead_gateway_endpoint_connections")
        .set(static_cast<double>(m_endpointClient.connectionsMade()));
    m_metrics.gauge("burdockhead_gateway_client_connections")
        .set(static_cast<double>(m_clientBudget->connectionCount()));
    m_metrics.gauge("burdockhead_gateway_client_request_bytes")
        .set(static_cast<double>(m_clientBudget->requestBytes()));
    m_metrics.gauge("burdockhead_gateway_clients_given_up")
        .set(static_cast<double>(m_clientBudget->givenUpCount()));
    exchange.answer(statusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                    m_metrics.toPrometheus());
}

} // namespace

int runGateway(const GatewaySettings &settings, const GatewayProtocols &protocols,
               const std::function<std::optional<GatewaySettings>()> &readSettings)
{
    std::signal(SIGPIPE, SIG_IGN);
    returnLargeBlocksAtOnce();
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
