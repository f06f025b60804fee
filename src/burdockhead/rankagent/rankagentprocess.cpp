#include <burdockhead/gateway/storefollower.h>
#include <burdockhead/net/httplistener.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/observe/wallclock.h>
#include <burdockhead/process/processstart.h>
#include <burdockhead/rankagent/countdelta.h>
#include <burdockhead/rankagent/rankagentprocess.h>
#include <burdockhead/rankagent/rankcoordinator.h>
#include <burdockhead/rankagent/standbytakeover.h>
#include <burdockhead/settings/valuetext.h>

#include <algorithm>
#include <csignal>
#include <limits>
#include <unistd.h>

namespace burdockhead {

namespace {

// Interval between polls of the local rank.
constexpr Milliseconds pollInterval{500};
// Interval during a map change, for an agent that may have to take over.
constexpr Milliseconds changePollInterval{100};
// Interval between reads of the configuration, of which a candidate needs the engines' shape only:
// a large one fills the slow link of its VM for some hundred milliseconds. The retry delay applies
// while no shape is known.
constexpr Milliseconds shapeInterval{60000};
constexpr Milliseconds shapeRetryDelay{500};
// Agents need no change of the store immediately, so their watches are as long as those of a
// gateway among this many.
constexpr std::size_t watchGatewayCount = 50;
constexpr Milliseconds flushInterval{100};
// Timeout of calls to the engine on this machine.
constexpr Milliseconds engineTimeout{120};
// Timeout and attempts of an order to the engine: engines leave some orders unanswered and execute
// them seconds later, when they are harmless. All attempts together take less than the
// coordinator's timeout.
constexpr Milliseconds orderTimeout{35};
constexpr unsigned maxOrderAttempts = 3;
// Timeout of forwarding an order with a map to another agent over a slow link.
constexpr Milliseconds forwardTimeout{300};
constexpr int statusOk = 200;
constexpr int statusMalformed = 400;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

// Agent process with all its components.
class RankAgentProcess
{
public:
    RankAgentProcess(const RankAgentSettings &settings, const RankAgentProtocols &protocols);

    bool start(std::string &error);
    void run() { m_loop.run(); }

private:
    using ResponseCallback = std::function<void(const ShortCall &)>;

    StoreFollowerDependencies followerDependencies();
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void sendStatus(const std::shared_ptr<HttpExchange> &exchange, bool hasCounts);
    void handleOrder(const std::shared_ptr<HttpExchange> &exchange);
    void forward(const RankOrderMessage &message);
    void readEngine(const std::string &target, ResponseCallback onResponse);
    void callEngine(const std::string &method, const std::string &target, const std::string &body,
                    Milliseconds timeout, const ShortCallOptions &options,
                    ResponseCallback onResponse);
    void sendOrder(const std::string &body, unsigned attempts, ResponseCallback onResponse);
    void readSnapshot(std::function<void()> done);
    void rejectOutdatedSnapshot(TimePoint sentAt);
    void readCounts(std::function<void()> done);
    void readExperts(std::function<void()> done);
    void pollRank();
    void updateRole();
    void onPolledBy(const std::string &rank);
    bool applyEndpoints(const std::vector<StoreChange> &changes, bool isList);
    void applyShape(const std::vector<StoreChange> &configurations);
    void flushLines();

    const RankAgentSettings m_settings;
    const RankAgentProtocols m_protocols;
    EventLoop m_loop;
    LineSink m_log;
    Metrics m_metrics;
    HttpClientPool m_engineClient;
    HttpClientPool m_agentClient;
    HttpClientPool m_storeClient;
    RankCoordinator m_coordinator;
    StoreOutage m_storeOutage;
    StoreFollower m_configurationFollower;
    StoreFollower m_endpointFollower;
    HttpListener m_listener;
    std::vector<std::unique_ptr<ShortCall>> m_calls;
    std::map<EndpointName, EndpointRegistration> m_endpoints; // Of the local service.
    std::optional<RankSnapshot> m_snapshot;       // The last response; none if it was unusable.
    std::optional<RankSnapshot> m_newestSnapshot; // The last one that was used.
    TimePoint m_newestSnapshotAt;
    ExpertCounts m_counts;
    RankExperts m_experts;
    CountDelta m_countDelta;
    TimePoint m_lastPolledAt = Clock::now();    // When an agent of a lower rank last polled.
    TimePoint m_lastRank0PollAt = Clock::now(); // When the agent beside rank 0 last polled.
    bool m_isFollowingStore = false;
    bool m_hasShape = false;
    TimerId m_shapeTimer = 0;
};

RankAgentProcess::RankAgentProcess(const RankAgentSettings &settings,
                                   const RankAgentProtocols &protocols)
    : m_settings(settings)
    , m_protocols(protocols)
    , m_log(STDOUT_FILENO, settings.m_name.text(), LineSink::Options())
    , m_engineClient(m_loop)
    , m_agentClient(m_loop)
    , m_storeClient(m_loop)
    , m_coordinator(
          {m_loop, m_agentClient, protocols.m_engine, m_log, m_metrics, settings.m_gateways},
          Random(systemSeed()))
    , m_configurationFollower(
          followerDependencies(), StoreCollection::Configuration,
          {[this](const auto &configurations, const auto &) { applyShape(configurations); },
           [](const auto &, const auto &) { return false; }},
          Random(systemSeed()))
    , m_endpointFollower(
          followerDependencies(), StoreCollection::Endpoints,
          {[this](const auto &changes, const auto &) { applyEndpoints(changes, true); },
           [this](const auto &changes, const auto &) { return applyEndpoints(changes, false); }},
          Random(systemSeed()))
    , m_listener(
          m_loop, [this](const auto &exchange) { handle(exchange); },
          std::make_shared<ClientBudget>(clientBudgetLimits(settings.m_resources)))
{}

StoreFollowerDependencies RankAgentProcess::followerDependencies()
{
    return {m_loop, m_storeClient, m_protocols.m_store, m_settings.m_store,
            m_log,  m_metrics,     m_storeOutage,       {}};
}

bool RankAgentProcess::start(std::string &error)
{
    m_loop.onSignal(SIGTERM, [this] {
        m_log.add("stopped", {});
        m_log.flush();
        m_loop.stop();
    });
    m_loop.onSignal(SIGINT, [this] { m_loop.stop(); });
    m_loop.onSignal(SIGHUP, [] {}); // SIGHUP is ignored: no setting can change at run time.
    if (!m_listener.start(m_settings.m_agents, error))
        return false;
    m_log.add("started", {{"endpoint", m_settings.m_endpoint.toString()}});
    m_endpointFollower.setGatewayCount(watchGatewayCount);
    pollRank();
    flushLines();
    return true;
}

void RankAgentProcess::callEngine(const std::string &method, const std::string &target,
                                  const std::string &body, Milliseconds timeout,
                                  const ShortCallOptions &options, ResponseCallback onResponse)
{
    std::erase_if(m_calls, [](const auto &call) { return call->isDone(); });
    m_calls.push_back(std::make_unique<ShortCall>(
        m_loop, m_engineClient, m_settings.m_endpoint, method, target, body, Clock::now() + timeout,
        [onResponse = std::move(onResponse)](ShortCall &call) { onResponse(call); }, options));
}

// Reads several times a second, over one connection. A late copy of a snapshot is rejected by its
// step, and one of another response can't be parsed. Orders share no connection with reads.
void RankAgentProcess::readEngine(const std::string &target, ResponseCallback onResponse)
{
    callEngine("GET", target, "", engineTimeout, {{}, ResponseIdentity::Order},
               std::move(onResponse));
}

void RankAgentProcess::readSnapshot(std::function<void()> done)
{
    readEngine(m_protocols.m_engine.snapshotTarget(),
               [this, sentAt = Clock::now(), done = std::move(done)](const ShortCall &call) {
                   m_snapshot = call.status() == statusOk
                                    ? m_protocols.m_engine.readSnapshot(call.body())
                                    : std::optional<RankSnapshot>();
                   rejectOutdatedSnapshot(sentAt);
                   done();
               });
}

// A snapshot that is earlier than one that was known when it was requested is a late copy and
// doesn't tell the rank's state. Responses to concurrent requests may only overtake each other.
void RankAgentProcess::rejectOutdatedSnapshot(TimePoint sentAt)
{
    if (!m_snapshot)
        return;
    if (m_newestSnapshot && m_snapshot->isEarlierThan(*m_newestSnapshot)) {
        if (m_newestSnapshotAt >= sentAt) {
            m_snapshot = m_newestSnapshot;
            return;
        }
        m_log.add("snapshot_outdated", {{"step", std::to_string(m_snapshot->m_step)},
                                        {"known_step", std::to_string(m_newestSnapshot->m_step)}});
        m_snapshot.reset();
        m_engineClient.dropIdle(m_settings.m_endpoint);
        return;
    }
    m_newestSnapshot = m_snapshot;
    m_newestSnapshotAt = Clock::now();
}

void RankAgentProcess::readCounts(std::function<void()> done)
{
    readEngine(m_protocols.m_engine.countsTarget(), [this, done = std::move(done)](
                                                        const ShortCall &call) {
        m_counts = {};
        const auto counts = call.status() == statusOk ? m_protocols.m_engine.readCounts(call.body())
                                                      : std::optional<ExpertCounts>();
        if (counts && m_snapshot) {
            const Milliseconds age(
                static_cast<std::int64_t>(wallMilliseconds() - m_snapshot->m_startedAt));
            m_counts =
                m_countDelta.sinceLastReading(*counts, m_snapshot->m_startedAt, age, Clock::now());
        }
        done();
    });
}

void RankAgentProcess::readExperts(std::function<void()> done)
{
    if (!m_snapshot
        || (m_experts.m_version == m_snapshot->m_mapVersion && !m_experts.m_layers.empty())) {
        done();
        return;
    }
    readEngine(m_protocols.m_engine.expertsTarget(),
               [this, done = std::move(done)](const ShortCall &call) {
                   if (call.status() == statusOk)
                       m_experts =
                           m_protocols.m_engine.readExperts(call.body()).value_or(m_experts);
                   done();
               });
}

void RankAgentProcess::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string &requestTarget = exchange->head().m_target;
    const auto query = requestTarget.find(polledByQuery);
    const std::string target = requestTarget.substr(0, query);
    if (query != std::string::npos)
        onPolledBy(requestTarget.substr(query + std::string_view(polledByQuery).size()));
    if (target == rankStatusTarget)
        sendStatus(exchange, false);
    else if (target == rankCountsTarget)
        readCounts([this, exchange] { sendStatus(exchange, true); });
    else if (target == rankOrderTarget)
        handleOrder(exchange);
    else if (target == "/metrics")
        exchange->answer(statusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                         m_metrics.toPrometheus());
    else
        exchange->answer(404, {}, "");
}

void RankAgentProcess::onPolledBy(const std::string &rank)
{
    const auto number = readNumber(rank, 0, std::numeric_limits<std::uint32_t>::max());
    if (number && m_snapshot && *number < m_snapshot->m_rank)
        m_lastPolledAt = Clock::now();
    if (number == 0U)
        m_lastRank0PollAt = Clock::now();
}

// Reads the snapshot last, so that it is the most recent part of the response.
void RankAgentProcess::sendStatus(const std::shared_ptr<HttpExchange> &exchange, bool hasCounts)
{
    readExperts([this, exchange, hasCounts] {
        readSnapshot([this, exchange, hasCounts] {
            if (!m_snapshot) {
                exchange->answer(statusUnavailable, {}, "");
                return;
            }
            const ExpertCounts counts = hasCounts ? m_counts : ExpertCounts();
            const auto sinceRank0Poll =
                std::chrono::duration_cast<Milliseconds>(Clock::now() - m_lastRank0PollAt);
            exchange->answer(statusOk, {},
                             writeRankStatus({*m_snapshot, counts, m_experts, sinceRank0Poll}));
        });
    });
}

void RankAgentProcess::handleOrder(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto message = readRankOrder(exchange->body());
    if (!message) {
        m_log.add("order_unreadable", {{"bytes", std::to_string(exchange->body().size())}});
        exchange->answer(statusMalformed, {}, "");
        return;
    }
    forward(*message);
    if (message->m_map)
        m_coordinator.addKnownMap(*message->m_map);
    const ExpertMap *map = message->m_map ? &*message->m_map : nullptr;
    sendOrder(m_protocols.m_engine.writeOrder(message->m_order, map, message->m_rankCount),
              maxOrderAttempts, [exchange](const ShortCall &call) {
                  exchange->answer(call.status() == 0 ? statusGatewayTimeout : call.status(), {},
                                   "");
              });
}

void RankAgentProcess::sendOrder(const std::string &body, unsigned attempts,
                                 ResponseCallback onResponse)
{
    callEngine("POST", m_protocols.m_engine.orderTarget(), body, orderTimeout, {},
               [this, body, attempts, onResponse = std::move(onResponse)](const ShortCall &call) {
                   if (call.status() == 0 && attempts > 1)
                       sendOrder(body, attempts - 1, onResponse);
                   else
                       onResponse(call);
               });
}

// Forwards the order. The coordinator repeats it for an agent that wasn't reached, when the
// snapshot of its rank shows no effect.
void RankAgentProcess::forward(const RankOrderMessage &message)
{
    for (const ForwardTarget &recipient : message.m_forwardTo) {
        RankOrderMessage forwarded = message;
        forwarded.m_order.m_rank = recipient.m_rank;
        forwarded.m_forwardTo.clear();
        m_calls.push_back(std::make_unique<ShortCall>(
            m_loop, m_agentClient, recipient.m_agent, "POST", rankOrderTarget,
            writeRankOrder(forwarded), Clock::now() + forwardTimeout, [](ShortCall &) {},
            ShortCallOptions::toOwnProcess()));
    }
}

void RankAgentProcess::pollRank()
{
    readSnapshot([this] { updateRole(); });
    const bool canTakeOver = m_isFollowingStore && m_snapshot && m_snapshot->isChangingMap();
    m_loop.callAt(Clock::now() + (canTakeOver ? changePollInterval : pollInterval),
                  [this] { pollRank(); });
}

// Determines whether this agent coordinates. The agent beside rank 0 does, and each standby does
// when no agent of a lower rank has polled it for some time. One that has the group held completes
// the change, although another one coordinates by now.
void RankAgentProcess::updateRole()
{
    const bool isCandidate =
        m_snapshot && m_snapshot->m_rankCount > 1 && m_snapshot->m_rank <= lastStandbyRank;
    if (isCandidate && !m_isFollowingStore) {
        m_configurationFollower.readOnce();
        m_endpointFollower.start();
        m_isFollowingStore = true;
    } else if (!isCandidate && m_isFollowingStore && m_snapshot) {
        m_loop.cancel(m_shapeTimer);
        m_configurationFollower.stop();
        m_endpointFollower.stop();
        m_isFollowingStore = false;
    }
    if (!m_snapshot)
        return;
    const std::uint32_t rank = m_snapshot->m_rank;
    const bool isCoordinating = isCandidate
                                && (rank == 0 || m_coordinator.isHoldInProgress()
                                    || Clock::now() > takeoverTime(*m_snapshot, m_lastPolledAt));
    m_coordinator.setGroup(isCoordinating ? std::optional(m_snapshot->m_group) : std::nullopt,
                           rank);
}

// Returns whether the ranks' addresses changed.
bool RankAgentProcess::applyEndpoints(const std::vector<StoreChange> &changes, bool isList)
{
    if (isList)
        m_endpoints.clear();
    for (const StoreChange &change : changes) {
        const auto *registration = std::get_if<EndpointRegistration>(&change.m_value);
        if (registration != nullptr && registration->m_service == m_settings.m_service)
            m_endpoints[registration->m_name] = *registration;
        else if (change.m_isRemoved)
            m_endpoints.erase(EndpointName(change.m_name));
    }
    // Agents listen on the same port of every machine.
    std::vector<RankAddresses> addresses;
    for (const auto &[name, registration] : m_endpoints)
        addresses.push_back(
            {{registration.m_address.m_host, m_settings.m_agents.m_port}, registration.m_address});
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    return m_coordinator.setAddresses(std::move(addresses));
}

// Polls the configuration instead of watching it: engines' shapes change with a release at most.
void RankAgentProcess::applyShape(const std::vector<StoreChange> &configurations)
{
    for (const StoreChange &change : configurations) {
        const auto *configuration = std::get_if<GatewayConfigurationPointer>(&change.m_value);
        if (configuration == nullptr)
            continue;
        const GatewayService *service = (*configuration)->findService(m_settings.m_service);
        if (service == nullptr)
            continue;
        m_hasShape = true;
        m_coordinator.setShape(service->m_experts);
    }
    m_shapeTimer = m_loop.callAt(Clock::now() + (m_hasShape ? shapeInterval : shapeRetryDelay),
                                 [this] { m_configurationFollower.readOnce(); });
}

void RankAgentProcess::flushLines()
{
    m_log.flush();
    m_loop.callAt(Clock::now() + flushInterval, [this] { flushLines(); });
}

} // namespace

int runRankAgent(const RankAgentSettings &settings, const RankAgentProtocols &protocols)
{
    std::signal(SIGPIPE, SIG_IGN);
    returnLargeBlocksAtOnce();
    initializeLog(settings.m_logLevel, settings.m_name.text());
    RankAgentProcess process(settings, protocols);
    std::string error;
    if (!process.start(error)) {
        logError("start_failed", {{"reason", error}});
        return 1;
    }
    process.run();
    return 0;
}

} // namespace burdockhead
