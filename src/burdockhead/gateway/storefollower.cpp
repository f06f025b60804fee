#include <burdockhead/gateway/storefollower.h>
#include <burdockhead/net/httpwriting.h>

#include <algorithm>

namespace burdockhead {

namespace {

// A longer answer of the store isn't waited for; a whole configuration has about a megabyte.
constexpr std::size_t maxBodyBytes = 33554432;

// How much longer than the watch its response may take.
constexpr Milliseconds watchTimeoutMargin{500};
// The longest watch of another gateway, whose connection may be unresponsive for as long.
constexpr Milliseconds silenceMemory{30000};
// Timeout of a list call; the store responds in milliseconds, at worst some hundred.
constexpr Milliseconds listTimeout{1500};
constexpr Milliseconds connectTimeout{500};
// Initial and longest backoff after failures; the longest is a fraction of the two seconds within
// which a configuration has to be in force.
constexpr Milliseconds initialBackoff{50};
constexpr Milliseconds maxBackoff{800};
// How often a follower checks whether another one has reached the store again.
constexpr Milliseconds outagePollInterval{50};
constexpr int statusOk = 200;
constexpr int statusTooManyCalls = 429;
constexpr int statusUnavailable = 503;

} // namespace

StoreFollower::StoreFollower(const StoreFollowerDependencies &dependencies,
                             StoreCollection collection, Handlers handlers, Random seed)
    : m_dependencies(dependencies)
    , m_collection(collection)
    , m_handlers(std::move(handlers))
    , m_random(seed)
    , m_schedule(Random(m_random()))
{}

StoreFollower::~StoreFollower()
{
    stop();
}

const char *StoreFollower::collectionName() const
{
    switch (m_collection) {
    case StoreCollection::Configuration:
        return "configuration";
    case StoreCollection::Endpoints:
        return "endpoints";
    case StoreCollection::DataCentresOut:
        return "data_centres_out";
    }
    return "";
}

void StoreFollower::start()
{
    m_isReadOnce = false;
    sendRequest();
}

void StoreFollower::readOnce()
{
    stop();
    m_isReadOnce = true;
    m_view.startOver();
    sendWhenAllowed();
}

void StoreFollower::stop()
{
    m_call.reset();
    m_dependencies.m_loop.cancel(m_timerId);
    if (m_consecutiveFailures > 0 && m_dependencies.m_outage.mayCall(m_collection))
        m_dependencies.m_outage.clear();
}

void StoreFollower::onRevisionKnownElsewhere(std::uint64_t revision)
{
    if (!m_view.isWatching() || !m_call || !m_schedule.shouldRestartWatch(revision, Clock::now()))
        return;
    m_dependencies.m_log.add("store_watch_behind", {{"collection", collectionName()},
                                                    {"revision", std::to_string(m_view.revision())},
                                                    {"known_elsewhere", std::to_string(revision)}});
    restartCall();
}

void StoreFollower::onEraKnownElsewhere(std::uint64_t era)
{
    if (era <= std::max(m_view.era(), m_eraKnownElsewhere))
        return;
    m_eraKnownElsewhere = era;
    if (!m_view.isWatching())
        return;
    m_dependencies.m_log.add("store_era_behind", {{"collection", collectionName()},
                                                  {"era", std::to_string(m_view.era())},
                                                  {"known_elsewhere", std::to_string(era)}});
    m_view.startOver();
    restartCall();
}

// Opens a new connection, since the old one may be unresponsive.
void StoreFollower::restartCall()
{
    m_changeTimes.recordFailure();
    m_call.reset();
    m_dependencies.m_loop.cancel(m_timerId);
    sendRequest();
}

// Waits while another follower of the process probes the store.
void StoreFollower::sendWhenAllowed()
{
    if (m_dependencies.m_outage.mayCall(m_collection)) {
        sendRequest();
        return;
    }
    m_timerId = m_dependencies.m_loop.callAt(Clock::now() + outagePollInterval, [this] {
        m_timerId = 0;
        sendWhenAllowed();
    });
}

void StoreFollower::sendRequest()
{
    const TimePoint now = Clock::now();
    const bool isWatching = m_view.isWatching();
    const Milliseconds watchTimeout =
        isWatching ? m_schedule.nextWatchTimeout(m_gatewayCount) : Milliseconds(0);
    const std::string target =
        isWatching
            ? m_dependencies.m_protocol.watchTarget(m_collection, m_view.revision(), watchTimeout)
            : m_dependencies.m_protocol.listTarget(m_collection, m_view.lastListedName());
    m_status = 0;
    m_responseEra = 0;
    m_body.clear();
    m_changeTimes.recordRequest(now);
    m_dependencies.m_metrics
        .counter("burdockhead_gateway_store_calls_total",
                 {{"call", isWatching ? "watch" : "list"}, {"collection", collectionName()}})
        .add();
    m_call = m_dependencies.m_client.call(
        m_dependencies.m_store,
        requestHead("GET", target, {{"Host", m_dependencies.m_store.toString()}}),
        {now + connectTimeout}, *this);
    m_timerId = m_dependencies.m_loop.callAt(
        now + (isWatching ? watchTimeout + watchTimeoutMargin : listTimeout), [this, isWatching] {
            m_timerId = 0;
            onTimeout(isWatching);
        });
}

void StoreFollower::onTimeout(bool isWatching)
{
    if (isWatching)
        m_lastSilenceAt = Clock::now();
    onFailure("timeout", true);
}

void StoreFollower::callHead(const HttpHead &head)
{
    m_status = head.m_status;
    m_responseEra = m_dependencies.m_protocol.parseEra(head);
}

void StoreFollower::callBody(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > maxBodyBytes) {
        onFailure("answer too long", true);
        return;
    }
    m_body.append(bytes);
}

void StoreFollower::callEnded(CallEnd end)
{
    if (end != CallEnd::Complete) {
        onFailure(end == CallEnd::NotSent ? "no connection" : "connection broke", true);
        return;
    }
    m_dependencies.m_loop.cancel(m_timerId);
    onResponse();
}

void StoreFollower::onResponse()
{
    const bool isWatch = m_view.isWatching();
    if (m_status == m_dependencies.m_protocol.historyLostStatus() && isWatch) {
        m_dependencies.m_log.add(
            "store_history_gone",
            {{"collection", collectionName()}, {"revision", std::to_string(m_view.revision())}});
        m_view.startOver();
        sendRequest();
        return;
    }
    if (m_status != statusOk) {
        onFailure("status " + std::to_string(m_status),
                  m_status == statusTooManyCalls || m_status == statusUnavailable);
        return;
    }
    const auto page = isWatch ? m_dependencies.m_protocol.parseChanges(m_collection, m_body)
                              : m_dependencies.m_protocol.parseList(m_collection, m_body);
    if (!page) {
        onFailure("answer can't be read", false);
        return;
    }
    if (m_responseEra < m_view.era()) {
        onFailure("answer of an older era", false);
        return;
    }
    onSuccess();
    const TimePoint madeAfter = m_changeTimes.recordResponse(Clock::now());
    if (isWatch)
        onChanges(*page, madeAfter);
    else
        onListPage(*page, madeAfter);
}

void StoreFollower::onListPage(const StorePage &page, TimePoint madeAfter)
{
    const ViewAction action = m_view.recordPage(m_responseEra, page);
    if (action == ViewAction::Continue) {
        sendRequest();
        return;
    }
    const bool isRestored = action == ViewAction::ApplyRestored;
    if (isRestored)
        logRestored();
    m_isListed = true;
    const std::vector<StoreChange> changes = m_view.takeList();
    recordRevisions(changes);
    recordView();
    m_handlers.m_listed(changes, {madeAfter, isRestored, true, m_body});
    if (!m_isReadOnce)
        sendRequest();
}

void StoreFollower::onChanges(const StorePage &page, TimePoint madeAfter)
{
    const TimePoint now = Clock::now();
    const ViewAction action = m_view.recordChanges(m_responseEra, page);
    recordView();
    if (action != ViewAction::ApplyChanges) {
        sendRequest();
        return;
    }
    recordRevisions(page.m_changes);
    const bool hasNewChanges =
        m_handlers.m_changed(page.m_changes, {madeAfter, false, false, m_body});
    m_call.reset();
    m_timerId = m_dependencies.m_loop.callAt(now + m_schedule.delayAfterChanges(hasNewChanges, now),
                                             [this] {
                                                 m_timerId = 0;
                                                 sendRequest();
                                             });
}

void StoreFollower::recordRevisions(const std::vector<StoreChange> &changes)
{
    const std::uint64_t known = m_schedule.newestRevision();
    for (const StoreChange &change : changes)
        m_schedule.recordRevision(toNumber({m_view.era(), change.m_revision}));
    if (m_schedule.newestRevision() > known && m_dependencies.m_onNewsAfterSilence
        && Clock::now() - m_lastSilenceAt < silenceMemory)
        m_dependencies.m_onNewsAfterSilence();
}

// Only while a watch continues the view: a list that is being read holds no changes yet.
void StoreFollower::recordView()
{
    if (m_view.isWatching())
        m_schedule.recordView(toNumber({m_view.era(), m_view.revision()}));
}

void StoreFollower::logRestored()
{
    m_dependencies.m_log.add("store_restored", {{"collection", collectionName()},
                                                {"old_era", std::to_string(m_view.previousEra())},
                                                {"new_era", std::to_string(m_view.era())},
                                                {"revision", std::to_string(m_view.revision())}});
    m_dependencies.m_metrics
        .counter("burdockhead_gateway_store_eras_total", {{"collection", collectionName()}})
        .add();
}

void StoreFollower::onSuccess()
{
    if (m_consecutiveFailures > 0) {
        const auto outageDuration =
            std::chrono::duration_cast<Milliseconds>(Clock::now() - m_outageStartedAt);
        m_dependencies.m_log.add("store_regained",
                                 {{"collection", collectionName()},
                                  {"away_ms", std::to_string(outageDuration.count())},
                                  {"failures", std::to_string(m_consecutiveFailures)}});
    }
    m_consecutiveFailures = 0;
    m_dependencies.m_outage.clear();
}

// A failure of only this collection is no outage; the other followers continue.
void StoreFollower::onFailure(const std::string &reason, bool isStoreOutage)
{
    m_call.reset();
    m_dependencies.m_loop.cancel(m_timerId);
    m_changeTimes.recordFailure();
    // After a store has lost its history, a watch from an earlier revision may wait in vain.
    m_view.startOver();
    if (m_consecutiveFailures++ == 0) {
        m_outageStartedAt = Clock::now();
        m_dependencies.m_log.add("store_lost", {{"collection", collectionName()},
                                                {"reason", reason},
                                                {"revision", std::to_string(m_view.revision())}});
    }
    if (isStoreOutage)
        m_dependencies.m_outage.onFailure(m_collection);
    else
        m_dependencies.m_outage.clear();
    const Milliseconds backoff =
        std::min(initialBackoff * (1U << std::min(m_consecutiveFailures - 1, 5U)), maxBackoff);
    // Jitter of half the backoff, so that the gateways don't call the store at the same time.
    const Milliseconds jittered = backoff / 2 + backoff * static_cast<int>(m_random() % 100) / 200;
    m_timerId = m_dependencies.m_loop.callAt(Clock::now() + jittered, [this] {
        m_timerId = 0;
        sendWhenAllowed();
    });
}

} // namespace burdockhead
