#include <burdockhead/gateway/callrouter.h>
#include <burdockhead/gateway/gatewayprocess.h>
#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/gateway/peerlink.h>
#include <burdockhead/gateway/storefollower.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/process/processstart.h>

#include <algorithm>
#include <csignal>
#include <unistd.h>

namespace burdockhead {

namespace {

// How long clients may keep an answer about addresses; they ask once in this time.
constexpr Milliseconds addressesHold{2000};
constexpr Milliseconds linesInterval{50};
constexpr Milliseconds refreshInterval{250};
constexpr Milliseconds settingsInterval{1000};
// An endpoint whose entry is gone is still used for this part of the time that it may be, since
// entries lapse while the store is away and come back.
constexpr int leavePartNumerator = 3;
constexpr int leavePartDenominator = 4;
// The part of a stop's grace in which requests are still taken: what comes later might not end
// in time, as the longest streams take about five eighths of the grace.
constexpr int takePartNumerator = 3;
constexpr int takePartDenominator = 8;
// Counted from the end of the grace: when connections without a request are closed, when the
// process may end if no request is open, and when it ends whatever is open.
constexpr Milliseconds closeIdleBefore{4000};
constexpr Milliseconds mayEndBefore{2500};
constexpr Milliseconds endBefore{600};
constexpr Milliseconds stopPoll{50};

// Reads the settings file again; none when it can't be used.
using ReadGatewaySettings = std::function<std::optional<GatewaySettings>()>;

// One gateway with everything that it consists of.
class GatewayProcess
{
public:
    GatewayProcess(const GatewaySettings &settings, const GatewayProtocols &dialects,
                   ReadGatewaySettings readSettings);

    bool start(std::string &error);
    void run() { m_loop.run(); }

private:
    StoreFollowerDependencies followerParts();
    PeerRecord ownRecord() const;
    bool takeConfiguration(const std::vector<StoreChange> &changes);
    bool takeEndpoints(const std::vector<StoreChange> &changes);
    void listEndpoints(const std::vector<StoreChange> &changes);
    bool takeDataCentres(const std::vector<StoreChange> &changes);
    void listDataCentres(const std::vector<StoreChange> &changes);
    void setDataCentreOut(const std::string &name, bool isOut);
    void updateReadiness();
    void refresh();
    void compareChanges();
    void writeLines();
    void reload();
    void watchSettings();
    void stop();
    void pollStop();
    void answerReadiness(HttpExchange &exchange);
    void answerAddresses(HttpExchange &exchange);
    void answerMetrics(HttpExchange &exchange);

    GatewaySettings m_settings;
    const GatewayProtocols m_dialects;
    const ReadGatewaySettings m_readSettings;
    EventLoop m_loop;
    LineSink m_lines;
    Metrics m_metrics;
    HttpClientPool m_endpointClient;
    HttpClientPool m_storeClient;
    EndpointTable m_endpoints;
    PeerTable m_peers;
    PeerLink m_peerLink;
    CallRouter m_router;
    StoreOutage m_storeOutage;
    StoreFollower m_configurationFollower;
    StoreFollower m_endpointFollower;
    StoreFollower m_dataCentreFollower;
    HttpListener m_clients;
    HttpListener m_readiness;
    HttpListener m_directory;
    HttpListener m_metricsPort;
    OrderRelay m_orderRelay;
    HttpListener m_orders;                 // Beside the peers' messages, which are datagrams.
    TimePoint m_stopBy = TimePoint::max(); // Set from SIGTERM on.
};

GatewayProcess::GatewayProcess(const GatewaySettings &settings, const GatewayProtocols &dialects,
                               ReadGatewaySettings readSettings)
    : m_settings(settings)
    , m_dialects(dialects)
    , m_readSettings(std::move(readSettings))
    , m_lines(STDOUT_FILENO, settings.m_name.text(), LineSink::Options())
    , m_endpointClient(m_loop)
    , m_storeClient(m_loop)
    , m_endpoints(Random(systemSeed()))
    , m_peers(ownRecord(), settings.m_seeds, Random(systemSeed()))
    , m_peerLink(m_loop, m_peers)
    , m_router({m_loop, m_endpointClient, dialects.m_calls, m_endpoints, m_peers, m_lines,
                m_metrics, m_settings.m_bounds},
               Random(systemSeed()))
    , m_configurationFollower(followerParts(), StoreCollection::Configuration,
                              {[this](const auto &changes) { takeConfiguration(changes); },
                               [this](const auto &changes) { return takeConfiguration(changes); }},
                              Random(systemSeed()))
    , m_endpointFollower(followerParts(), StoreCollection::Endpoints,
                         {[this](const auto &changes) { listEndpoints(changes); },
                          [this](const auto &changes) { return takeEndpoints(changes); }},
                         Random(systemSeed()))
    , m_dataCentreFollower(followerParts(), StoreCollection::DataCentresOut,
                           {[this](const auto &changes) { listDataCentres(changes); },
                            [this](const auto &changes) { return takeDataCentres(changes); }},
                           Random(systemSeed()))
    , m_clients(m_loop, [this](const auto &exchange) { m_router.handle(exchange); })
    , m_readiness(m_loop, [this](const auto &exchange) { answerReadiness(*exchange); })
    , m_directory(m_loop, [this](const auto &exchange) { answerAddresses(*exchange); })
    , m_metricsPort(m_loop, [this](const auto &exchange) { answerMetrics(*exchange); })
    , m_orderRelay(m_loop, m_endpointClient, m_endpoints, m_lines)
    , m_orders(m_loop, [this](const auto &exchange) { m_orderRelay.handle(exchange); })
{}

StoreFollowerDependencies GatewayProcess::followerParts()
{
    return {m_loop,  m_storeClient, m_dialects.m_store, m_settings.m_store,
            m_lines, m_metrics,     m_storeOutage};
}

PeerRecord GatewayProcess::ownRecord() const
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
    if (!m_clients.start(m_settings.m_clients, error)
        || !m_readiness.start(m_settings.m_readiness, error)
        || !m_directory.start(m_settings.m_directory, error)
        || !m_metricsPort.start(m_settings.m_metrics, error)
        || !m_orders.start(m_settings.m_peers, error)
        || !m_peerLink.start(m_settings.m_peers, error))
        return false;
    m_configurationFollower.start();
    m_endpointFollower.start();
    m_dataCentreFollower.start();
    refresh();
    writeLines();
    watchSettings();
    m_lines.add("started", {{"clients", m_settings.m_clients.toString()},
                            {"incarnation", std::to_string(m_peers.local().m_incarnation)}});
    return true;
}

bool GatewayProcess::takeConfiguration(const std::vector<StoreChange> &changes)
{
    for (const StoreChange &change : changes) {
        if (const auto *bad = std::get_if<UnusableObject>(&change.m_value)) {
            m_lines.add("configuration_unusable",
                        {{"name", change.m_name}, {"reason", bad->m_reason}});
            continue;
        }
        const auto *configuration = std::get_if<GatewayConfigurationPointer>(&change.m_value);
        if (change.m_isRemoved || configuration == nullptr)
            continue;
        const bool isApplied = m_router.applyConfiguration(*configuration);
        if (isApplied)
            m_clients.setLimits((*configuration)->limits());
        m_lines.add(isApplied ? "configuration_applied" : "configuration_ignored",
                    {{"version", std::to_string((*configuration)->version())},
                     {"in_force", std::to_string(m_router.configuration()->version())},
                     {"routes", std::to_string((*configuration)->routes().size())}});
    }
    updateReadiness();
    return true;
}

bool GatewayProcess::takeEndpoints(const std::vector<StoreChange> &changes)
{
    const TimePoint now = Clock::now();
    bool hasNews = false;
    for (const StoreChange &change : changes) {
        if (const auto *bad = std::get_if<UnusableObject>(&change.m_value)) {
            m_lines.add("endpoint_unusable", {{"name", change.m_name}, {"reason", bad->m_reason}});
            m_endpoints.remove(EndpointName(change.m_name), now);
            continue;
        }
        const auto *entry = std::get_if<EndpointEntry>(&change.m_value);
        if (change.m_isRemoved || entry == nullptr) {
            const auto known = m_endpoints.find(EndpointName(change.m_name));
            const Milliseconds usable =
                m_settings.m_bounds.m_leaveTime * leavePartNumerator / leavePartDenominator;
            m_endpoints.remove(EndpointName(change.m_name), now + usable);
            m_lines.add("endpoint_gone", {{"endpoint", change.m_name}});
            hasNews = true;
            continue;
        }
        const auto before = m_endpoints.find(entry->m_name);
        hasNews |= !before || before->m_entry != *entry;
        const bool wasLeaving = before && before->m_entry.m_isLeaving;
        const bool isNew = m_endpoints.update(*entry);
        if (isNew || wasLeaving != entry->m_isLeaving)
            m_lines.add(isNew ? "endpoint_new" : "endpoint_changed",
                        {{"endpoint", change.m_name},
                         {"service", entry->m_service.text()},
                         {"address", entry->m_address.toString()},
                         {"leaving", entry->m_isLeaving ? "yes" : "no"}});
    }
    updateReadiness();
    m_router.refresh();
    return hasNews;
}

// What the list doesn't name is gone.
void GatewayProcess::listEndpoints(const std::vector<StoreChange> &changes)
{
    std::vector<StoreChange> all = changes;
    for (const auto &item : m_endpoints.endpoints()) {
        const std::string &name = item.first.text();
        const bool isListed =
            std::any_of(changes.begin(), changes.end(),
                        [&](const StoreChange &change) { return change.m_name == name; });
        if (!isListed)
            all.push_back({name, true, 0, {}});
    }
    takeEndpoints(all);
}

void GatewayProcess::setDataCentreOut(const std::string &name, bool isOut)
{
    if (m_endpoints.isDataCentreOut(DataCentreName(name)) == isOut)
        return;
    m_endpoints.setDataCentreOut(DataCentreName(name), isOut);
    m_lines.add(isOut ? "data_centre_out" : "data_centre_back", {{"data_centre", name}});
}

bool GatewayProcess::takeDataCentres(const std::vector<StoreChange> &changes)
{
    for (const StoreChange &change : changes)
        setDataCentreOut(change.m_name, !change.m_isRemoved);
    m_router.refresh();
    return true;
}

void GatewayProcess::listDataCentres(const std::vector<StoreChange> &changes)
{
    for (const DataCentreName &name : m_endpoints.dataCentresOut()) {
        const bool isListed =
            std::any_of(changes.begin(), changes.end(),
                        [&](const StoreChange &change) { return change.m_name == name.text(); });
        if (!isListed)
            setDataCentreOut(name.text(), false);
    }
    takeDataCentres(changes);
    updateReadiness();
}

void GatewayProcess::updateReadiness()
{
    if (m_peers.local().m_state == PeerState::Starting && m_router.configuration()
        && m_endpointFollower.isListed() && m_dataCentreFollower.isListed()) {
        m_peers.setState(PeerState::Ready);
        m_peerLink.broadcast();
        m_lines.add("ready", {{"config", std::to_string(m_router.configuration()->version())}});
    }
}

// Tells the other gateways which changes of the store this one has taken, and asks the store
// anew for those that others have and its watches haven't brought.
void GatewayProcess::compareChanges()
{
    const TimePoint now = Clock::now();
    const std::array<StoreFollower *, storeCollectionCount> followers = {
        &m_configurationFollower, &m_endpointFollower, &m_dataCentreFollower};
    StoreRevisions own = {};
    for (std::size_t kind = 0; kind < storeCollectionCount; ++kind)
        own[kind] = followers[kind]->newestRevision();
    m_peers.setNewestRevisions(own);
    const StoreRevisions newest = m_peers.newestRevisions(now);
    const std::size_t fleet = m_peers.livePeers(now).size() + 1;
    for (std::size_t kind = 0; kind < storeCollectionCount; ++kind) {
        followers[kind]->setGatewayCount(fleet);
        followers[kind]->onRevisionKnownElsewhere(newest[kind]);
    }
}

void GatewayProcess::refresh()
{
    compareChanges();
    m_endpoints.removeExpired(Clock::now());
    m_router.refresh();
    m_loop.callAt(Clock::now() + refreshInterval, [this] { refresh(); });
}

void GatewayProcess::writeLines()
{
    m_lines.flush();
    m_loop.callAt(Clock::now() + linesInterval, [this] { writeLines(); });
}

void GatewayProcess::reload()
{
    const auto settings = m_readSettings();
    if (!settings) {
        m_lines.add("reload_failed", {});
        return;
    }
    if (*settings == m_settings)
        return;
    m_settings.m_bounds = settings->m_bounds;
    m_settings.m_seeds = settings->m_seeds;
    m_peers.setSeeds(settings->m_seeds);
    m_lines.add("reloaded", {{"seeds", std::to_string(settings->m_seeds.size())}});
}

void GatewayProcess::watchSettings()
{
    m_loop.callAt(Clock::now() + settingsInterval, [this] {
        reload();
        watchSettings();
    });
}

void GatewayProcess::stop()
{
    if (m_stopBy != TimePoint::max())
        return;
    m_stopBy = Clock::now() + m_settings.m_bounds.m_stopGrace;
    m_lines.add("stopping", {{"open_requests", std::to_string(m_router.openRequests())}});
    m_peers.setState(PeerState::Leaving);
    m_peerLink.broadcast();
    m_clients.closeAfterAnswers();
    pollStop();
}

// Clients hold answers about addresses for a while, some of them longer than told, so the
// gateway serves on for most of its grace.
void GatewayProcess::pollStop()
{
    const TimePoint now = Clock::now();
    if (now >= m_stopBy - closeIdleBefore)
        m_clients.closeIdle();
    const Milliseconds grace = m_settings.m_bounds.m_stopGrace;
    if (now >= m_stopBy - grace + grace * takePartNumerator / takePartDenominator)
        m_router.refuseNew();
    const bool isDone = now >= m_stopBy - mayEndBefore && m_router.openRequests() == 0;
    if (isDone || now >= m_stopBy - endBefore) {
        m_lines.add("stopped", {{"open_requests", std::to_string(m_router.openRequests())}});
        m_lines.flush();
        m_loop.stop();
        return;
    }
    m_loop.callAt(now + stopPoll, [this] { pollStop(); });
}

void GatewayProcess::answerReadiness(HttpExchange &exchange)
{
    const bool isReady = m_peers.local().m_state == PeerState::Ready;
    if (m_dialects.m_calls.isReadinessRequest(exchange.head()))
        exchange.answer(isReady ? 200 : 503, {}, "");
    else
        exchange.answer(404, {}, "");
}

void GatewayProcess::answerAddresses(HttpExchange &exchange)
{
    if (!m_dialects.m_calls.isAddressRequest(exchange.head())) {
        exchange.answer(404, {}, "");
        return;
    }
    const auto addresses = m_peers.readyClients(Clock::now());
    if (addresses.empty()) {
        exchange.answer(503, {}, "");
        return;
    }
    const GatewayResponse answer = m_dialects.m_calls.addressResponse(addresses, addressesHold);
    exchange.answer(answer.m_status, answer.m_headers, answer.m_body);
}

void GatewayProcess::answerMetrics(HttpExchange &exchange)
{
    m_metrics.gauge("burdockhead_gateway_open_requests")
        .set(static_cast<double>(m_router.openRequests()));
    m_metrics.gauge("burdockhead_gateway_lines_dropped")
        .set(static_cast<double>(m_lines.droppedLines()));
    m_metrics.gauge("burdockhead_gateway_endpoint_connections")
        .set(static_cast<double>(m_endpointClient.connectionsMade()));
    exchange.answer(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.toPrometheus());
}

} // namespace

int runGateway(const GatewaySettings &settings, const GatewayProtocols &dialects,
               const std::function<std::optional<GatewaySettings>()> &readSettings)
{
    std::signal(SIGPIPE, SIG_IGN);
    initializeLog(settings.m_logLevel, settings.m_name.text());
    GatewayProcess process(settings, dialects, readSettings);
    std::string error;
    if (!process.start(error)) {
        logError("start_failed", {{"reason", error}});
        return 1;
    }
    process.run();
    return 0;
}

} // namespace burdockhead
