#include <burdockhead/gateway/storefollower.h>
#include <burdockhead/net/httplistener.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/observe/log.h>
#include <burdockhead/observe/wallclock.h>
#include <burdockhead/process/processstart.h>
#include <burdockhead/rankagent/countdifference.h>
#include <burdockhead/rankagent/deputies.h>
#include <burdockhead/rankagent/rankagentprocess.h>
#include <burdockhead/rankagent/rankcoordinator.h>
#include <burdockhead/settings/valuetext.h>

#include <algorithm>
#include <csignal>
#include <limits>
#include <unistd.h>

namespace burdockhead {

namespace {

// How often the own rank is looked at while nobody asks for it.
constexpr Milliseconds lookInterval{500};
// The same while a map change is under way, for an agent that may have to end it.
constexpr Milliseconds changeLookInterval{100};
// How often a candidate reads the configuration, of which it needs the engines' shape alone: a
// large one fills the slow link of its VM for some hundred milliseconds. And how soon it does so
// again while it knows no shape.
constexpr Milliseconds shapeInterval{60000};
constexpr Milliseconds shapeRetry{500};
// Agents need no change of the store at once; their watches are as long as those of this many
// gateways.
constexpr std::size_t watchesAsInFleet = 10;
constexpr Milliseconds linesInterval{100};
// How long the engine on this machine may take to answer.
constexpr Milliseconds engineTimeout{120};
// How long the engine may take to answer an order, and how often it is given: engines leave some
// unanswered and carry them out seconds later, when they do no harm any more. All times together
// are shorter than the coordinator waits.
constexpr Milliseconds orderTimeout{35};
constexpr unsigned timesGiven = 3;
// How long another agent may take to pass on an order with a map over a slow link.
constexpr Milliseconds forwardTimeout{300};
constexpr int statusOk = 200;
constexpr int statusMalformed = 400;
constexpr int statusUnavailable = 503;
constexpr int statusNoAnswer = 504;

// The agent with everything that it consists of.
class RankAgentProcess
{
public:
    RankAgentProcess(const RankAgentSettings &settings, const RankAgentDialects &dialects);

    bool start(std::string &error);
    void run() { m_loop.run(); }

private:
    using Answered = std::function<void(const ShortCall &)>;

    StoreFollowerDependencies followerParts();
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void answerStatus(const std::shared_ptr<HttpExchange> &exchange, bool hasCounts);
    void passOrder(const std::shared_ptr<HttpExchange> &exchange);
    void forward(const RankOrderMessage &message);
    void askEngine(const std::string &method, const std::string &target, const std::string &body,
                   Milliseconds timeout, Answered answered);
    void giveOrder(const std::string &body, unsigned times, Answered answered);
    void readView(std::function<void()> then);
    void readCounts(std::function<void()> then);
    void readExperts(std::function<void()> then);
    void look();
    void coordinate();
    void noteCoordinator(const std::string &rank);
    bool takeEndpoints(const std::vector<StoreChange> &changes, bool isList);
    void takeShape(const std::vector<StoreChange> &configurations);
    void writeLines();

    const RankAgentSettings m_settings;
    const RankAgentDialects m_dialects;
    EventLoop m_loop;
    LineSink m_lines;
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
    std::map<EndpointName, EndpointEntry> m_endpoints; // Of the own service.
    std::optional<RankView> m_view;
    ExpertCounts m_counts;
    RankExperts m_experts;
    CountDifference m_countDifference;
    TimePoint m_coordinatedAt = Clock::now();  // When an earlier rank's agent last asked.
    TimePoint m_askedByFirstAt = Clock::now(); // When that beside rank 0 did.
    bool m_isFollowing = false;
    bool m_hasShape = false;
    TimerId m_shapeTimer = 0;
};

RankAgentProcess::RankAgentProcess(const RankAgentSettings &settings,
                                   const RankAgentDialects &dialects)
    : m_settings(settings)
    , m_dialects(dialects)
    , m_lines(STDOUT_FILENO, settings.m_name.text(), LineSink::Options())
    , m_engineClient(m_loop)
    , m_agentClient(m_loop)
    , m_storeClient(m_loop)
    , m_coordinator(
          {m_loop, m_agentClient, dialects.m_engine, m_lines, m_metrics, settings.m_gateways},
          Random(systemSeed()))
    , m_configurationFollower(followerParts(), StoreCollection::Configuration,
                              {[this](const auto &configurations) { takeShape(configurations); },
                               [](const auto &) { return false; }},
                              Random(systemSeed()))
    , m_endpointFollower(followerParts(), StoreCollection::Endpoints,
                         {[this](const auto &changes) { takeEndpoints(changes, true); },
                          [this](const auto &changes) { return takeEndpoints(changes, false); }},
                         Random(systemSeed()))
    , m_listener(m_loop, [this](const auto &exchange) { handle(exchange); })
{}

StoreFollowerDependencies RankAgentProcess::followerParts()
{
    return {m_loop,  m_storeClient, m_dialects.m_store, m_settings.m_store,
            m_lines, m_metrics,     m_storeOutage};
}

bool RankAgentProcess::start(std::string &error)
{
    m_loop.onSignal(SIGTERM, [this] {
        m_lines.add("stopped", {});
        m_lines.flush();
        m_loop.stop();
    });
    m_loop.onSignal(SIGINT, [this] { m_loop.stop(); });
    m_loop.onSignal(SIGHUP, [] {}); // Nothing of the settings can change while it runs.
    if (!m_listener.start(m_settings.m_agents, error))
        return false;
    m_lines.add("started", {{"endpoint", m_settings.m_endpoint.toString()}});
    m_endpointFollower.setGatewayCount(watchesAsInFleet);
    look();
    writeLines();
    return true;
}

void RankAgentProcess::askEngine(const std::string &method, const std::string &target,
                                 const std::string &body, Milliseconds timeout, Answered answered)
{
    std::erase_if(m_calls, [](const auto &call) { return call->isDone(); });
    m_calls.push_back(std::make_unique<ShortCall>(
        m_loop, m_engineClient, m_settings.m_endpoint, method, target, body, Clock::now() + timeout,
        [answered = std::move(answered)](ShortCall &call) { answered(call); }));
}

void RankAgentProcess::readView(std::function<void()> then)
{
    askEngine("GET", m_dialects.m_engine.viewTarget(), "", engineTimeout,
              [this, then = std::move(then)](const ShortCall &call) {
                  m_view = call.status() == statusOk ? m_dialects.m_engine.readView(call.body())
                                                     : std::optional<RankView>();
                  then();
              });
}

void RankAgentProcess::readCounts(std::function<void()> then)
{
    askEngine("GET", m_dialects.m_engine.countsTarget(), "", engineTimeout,
              [this, then = std::move(then)](const ShortCall &call) {
                  m_counts = {};
                  const auto counts = call.status() == statusOk
                                          ? m_dialects.m_engine.readCounts(call.body())
                                          : std::optional<ExpertCounts>();
                  if (counts && m_view) {
                      const Milliseconds age(
                          static_cast<std::int64_t>(wallMilliseconds() - m_view->m_startedAt));
                      m_counts =
                          m_countDifference.since(*counts, m_view->m_startedAt, age, Clock::now());
                  }
                  then();
              });
}

void RankAgentProcess::readExperts(std::function<void()> then)
{
    if (!m_view || (m_experts.m_version == m_view->m_map && !m_experts.m_layers.empty())) {
        then();
        return;
    }
    askEngine("GET", m_dialects.m_engine.expertsTarget(), "", engineTimeout,
              [this, then = std::move(then)](const ShortCall &call) {
                  if (call.status() == statusOk)
                      m_experts = m_dialects.m_engine.readExperts(call.body()).value_or(m_experts);
                  then();
              });
}

void RankAgentProcess::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const std::string &asked = exchange->head().m_target;
    const auto query = asked.find(askedByQuery);
    const std::string target = asked.substr(0, query);
    if (query != std::string::npos)
        noteCoordinator(asked.substr(query + std::string_view(askedByQuery).size()));
    if (target == rankStatusTarget)
        answerStatus(exchange, false);
    else if (target == rankCountsTarget)
        readCounts([this, exchange] { answerStatus(exchange, true); });
    else if (target == rankOrderTarget)
        passOrder(exchange);
    else if (target == "/metrics")
        exchange->answer(statusOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                         m_metrics.toPrometheus());
    else
        exchange->answer(404, {}, "");
}

void RankAgentProcess::noteCoordinator(const std::string &rank)
{
    const auto number = readNumber(rank, 0, std::numeric_limits<std::uint32_t>::max());
    if (number && m_view && *number < m_view->m_rank)
        m_coordinatedAt = Clock::now();
    if (number == 0U)
        m_askedByFirstAt = Clock::now();
}

// The view is read last, so that it is the newest part of the answer.
void RankAgentProcess::answerStatus(const std::shared_ptr<HttpExchange> &exchange, bool hasCounts)
{
    readExperts([this, exchange, hasCounts] {
        readView([this, exchange, hasCounts] {
            if (!m_view) {
                exchange->answer(statusUnavailable, {}, "");
                return;
            }
            const ExpertCounts counts = hasCounts ? m_counts : ExpertCounts();
            const auto sinceFirstAsked =
                std::chrono::duration_cast<Milliseconds>(Clock::now() - m_askedByFirstAt);
            exchange->answer(statusOk, {},
                             writeRankStatus({*m_view, counts, m_experts, sinceFirstAsked}));
        });
    });
}

void RankAgentProcess::passOrder(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto message = readRankOrder(exchange->body());
    if (!message) {
        m_lines.add("order_unreadable", {{"bytes", std::to_string(exchange->body().size())}});
        exchange->answer(statusMalformed, {}, "");
        return;
    }
    forward(*message);
    if (message->m_map)
        m_coordinator.noteMap(*message->m_map);
    const ExpertMap *map = message->m_map ? &*message->m_map : nullptr;
    giveOrder(m_dialects.m_engine.writeOrder(message->m_order, map, message->m_ranks), timesGiven,
              [exchange](const ShortCall &call) {
                  exchange->answer(call.status() == 0 ? statusNoAnswer : call.status(), {}, "");
              });
}

void RankAgentProcess::giveOrder(const std::string &body, unsigned times, Answered answered)
{
    askEngine("POST", m_dialects.m_engine.orderTarget(), body, orderTimeout,
              [this, body, times, answered = std::move(answered)](const ShortCall &call) {
                  if (call.status() == 0 && times > 1)
                      giveOrder(body, times - 1, answered);
                  else
                      answered(call);
              });
}

// Passes the order on. An agent that isn't reached is told again by the coordinator, which sees
// that its rank doesn't do as told.
void RankAgentProcess::forward(const RankOrderMessage &message)
{
    for (const ForwardedRank &rank : message.m_forwardTo) {
        RankOrderMessage forwarded = message;
        forwarded.m_order.m_rank = rank.m_rank;
        forwarded.m_forwardTo.clear();
        m_calls.push_back(std::make_unique<ShortCall>(
            m_loop, m_agentClient, rank.m_agent, "POST", rankOrderTarget, writeRankOrder(forwarded),
            Clock::now() + forwardTimeout, [](ShortCall &) {}));
    }
}

void RankAgentProcess::look()
{
    readView([this] { coordinate(); });
    const bool mayTakeOver = m_isFollowing && m_view && m_view->isInChange();
    m_loop.callAt(Clock::now() + (mayTakeOver ? changeLookInterval : lookInterval),
                  [this] { look(); });
}

// The agents of the first ranks may coordinate: that of rank 0, and each further one while it
// hasn't been asked by one before it for some time.
void RankAgentProcess::coordinate()
{
    const bool isCandidate = m_view && m_view->m_ranks > 1 && m_view->m_rank <= lastDeputy;
    if (isCandidate && !m_isFollowing) {
        m_configurationFollower.readOnce();
        m_endpointFollower.start();
        m_isFollowing = true;
    } else if (!isCandidate && m_isFollowing && m_view) {
        m_loop.cancel(m_shapeTimer);
        m_configurationFollower.stop();
        m_endpointFollower.stop();
        m_isFollowing = false;
    }
    if (!m_view)
        return;
    const std::uint32_t rank = m_view->m_rank;
    const bool isActing =
        isCandidate && (rank == 0 || Clock::now() > takesOverAt(*m_view, m_coordinatedAt));
    m_coordinator.setGroup(isActing ? std::optional(m_view->m_group) : std::nullopt, rank);
}

// Returns whether that changed where ranks are asked.
bool RankAgentProcess::takeEndpoints(const std::vector<StoreChange> &changes, bool isList)
{
    if (isList)
        m_endpoints.clear();
    for (const StoreChange &change : changes) {
        const auto *entry = std::get_if<EndpointEntry>(&change.m_value);
        if (entry != nullptr && entry->m_service == m_settings.m_service)
            m_endpoints[entry->m_name] = *entry;
        else if (change.m_isRemoved)
            m_endpoints.erase(EndpointName(change.m_name));
    }
    // Agents listen on the same port of every machine.
    std::vector<RankAccess> access;
    for (const auto &[name, entry] : m_endpoints)
        access.push_back({{entry.m_address.m_host, m_settings.m_agents.m_port}, entry.m_address});
    std::sort(access.begin(), access.end());
    access.erase(std::unique(access.begin(), access.end()), access.end());
    return m_coordinator.setAccess(std::move(access));
}

// A change of the configuration is not waited for: engines' shapes change with a release at most.
void RankAgentProcess::takeShape(const std::vector<StoreChange> &configurations)
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
    m_shapeTimer = m_loop.callAt(Clock::now() + (m_hasShape ? shapeInterval : shapeRetry),
                                 [this] { m_configurationFollower.readOnce(); });
}

void RankAgentProcess::writeLines()
{
    m_lines.flush();
    m_loop.callAt(Clock::now() + linesInterval, [this] { writeLines(); });
}

} // namespace

int runRankAgent(const RankAgentSettings &settings, const RankAgentDialects &dialects)
{
    std::signal(SIGPIPE, SIG_IGN);
    initializeLog(settings.m_logLevel, settings.m_name.text());
    RankAgentProcess process(settings, dialects);
    std::string error;
    if (!process.start(error)) {
        logError("start_failed", {{"reason", error}});
        return 1;
    }
    process.run();
    return 0;
}

} // namespace burdockhead
