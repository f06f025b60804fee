#include <burdockhead/gateway/storefollower.h>
#include <burdockhead/net/httpwriting.h>

#include <algorithm>

namespace burdockhead {

namespace {

// How much longer than a watch its answer may take.
constexpr Milliseconds watchMargin{700};
// How long a list may take; the store answers in milliseconds, at worst some hundred.
constexpr Milliseconds listTimeout{1500};
constexpr Milliseconds connectTimeout{500};
// Pauses after failures: the first, and the longest, which is a part of the two seconds within
// which a configuration has to be in force.
constexpr Milliseconds firstPause{50};
constexpr Milliseconds longestPause{800};
constexpr Milliseconds maxIdle{3000};
// How often a follower looks whether another one has reached the store again.
constexpr Milliseconds outagePoll{50};
constexpr int statusOk = 200;
constexpr int statusTooManyCalls = 429;
constexpr int statusUnavailable = 503;

} // namespace

StoreFollower::StoreFollower(const StoreFollowerParts &parts, StoreKind kind, Handlers handlers,
                             Random seed)
    : m_parts(parts)
    , m_kind(kind)
    , m_handlers(std::move(handlers))
    , m_random(seed)
    , m_schedule(Random(m_random()))
{}

StoreFollower::~StoreFollower()
{
    stop();
}

const char *StoreFollower::name() const
{
    switch (m_kind) {
    case StoreKind::Configuration:
        return "configuration";
    case StoreKind::Endpoints:
        return "endpoints";
    case StoreKind::DataCentresOut:
        return "data_centres_out";
    }
    return "";
}

void StoreFollower::start()
{
    m_isReadOnce = false;
    ask();
}

void StoreFollower::readOnce()
{
    stop();
    m_isReadOnce = true;
    m_isWatching = false;
    m_listedUpTo.clear();
    askWhenAllowed();
}

void StoreFollower::stop()
{
    m_call.reset();
    m_parts.m_loop.cancel(m_timer);
    if (m_failures > 0 && m_parts.m_outage.mayCall(m_kind))
        m_parts.m_outage.noteEnd();
}

void StoreFollower::noteKnownElsewhere(std::uint64_t newestChange)
{
    if (!m_isWatching || !m_call || !m_schedule.shouldAskAnew(newestChange, Clock::now()))
        return;
    m_parts.m_lines.add("store_watch_behind", {{"collection", name()},
                                               {"revision", std::to_string(m_revision)},
                                               {"known_elsewhere", std::to_string(newestChange)}});
    // On a new connection, since the old one may be silent.
    m_call.reset();
    m_parts.m_loop.cancel(m_timer);
    ask();
}

// Waits while another follower of the process tries whether the store is back.
void StoreFollower::askWhenAllowed()
{
    if (m_parts.m_outage.mayCall(m_kind)) {
        ask();
        return;
    }
    m_timer = m_parts.m_loop.callAt(Clock::now() + outagePoll, [this] {
        m_timer = 0;
        askWhenAllowed();
    });
}

void StoreFollower::ask()
{
    const TimePoint now = Clock::now();
    const Milliseconds watchTime =
        m_isWatching ? m_schedule.nextWatchTime(m_fleet) : Milliseconds(0);
    const std::string target = m_isWatching
                                   ? m_parts.m_dialect.watchTarget(m_kind, m_revision, watchTime)
                                   : m_parts.m_dialect.listTarget(m_kind, m_listedUpTo);
    m_status = 0;
    m_body.clear();
    m_parts.m_metrics
        .counter("burdockhead_gateway_store_calls_total",
                 {{"call", m_isWatching ? "watch" : "list"}, {"collection", name()}})
        .add();
    m_call = m_parts.m_client.call(
        m_parts.m_store, requestHead("GET", target, {{"Host", m_parts.m_store.toString()}}),
        {now + connectTimeout, maxIdle, false}, *this);
    m_timer =
        m_parts.m_loop.callAt(now + (m_isWatching ? watchTime + watchMargin : listTimeout), [this] {
            m_timer = 0;
            failed("timeout", true);
        });
}

void StoreFollower::callHead(const HttpHead &head)
{
    m_status = head.m_status;
}

void StoreFollower::callBody(std::string_view bytes)
{
    m_body.append(bytes);
}

void StoreFollower::callEnded(CallEnd end)
{
    if (end != CallEnd::Complete) {
        failed(end == CallEnd::NotSent ? "no connection" : "connection broke", true);
        return;
    }
    m_parts.m_loop.cancel(m_timer);
    answered();
}

void StoreFollower::answered()
{
    if (m_status == m_parts.m_dialect.historyGoneStatus() && m_isWatching) {
        m_parts.m_lines.add("store_history_gone",
                            {{"collection", name()}, {"revision", std::to_string(m_revision)}});
        m_isWatching = false;
        m_listedUpTo.clear();
        ask();
        return;
    }
    if (m_status != statusOk) {
        failed("status " + std::to_string(m_status),
               m_status == statusTooManyCalls || m_status == statusUnavailable);
        return;
    }
    const auto page = m_isWatching ? m_parts.m_dialect.readChanges(m_kind, m_body)
                                   : m_parts.m_dialect.readList(m_kind, m_body);
    if (!page) {
        failed("answer can't be read", false);
        return;
    }
    succeeded();
    if (!m_isWatching) {
        takeList(*page);
        if (!m_isReadOnce || !m_isWatching)
            ask();
        return;
    }
    m_revision = std::max(m_revision, page->m_revision);
    if (page->m_changes.empty()) {
        ask();
        return;
    }
    for (const StoreChange &change : page->m_changes)
        m_schedule.noteSeen(change.m_revision);
    const bool hasNews = m_handlers.m_changed(page->m_changes);
    m_call.reset();
    const TimePoint now = Clock::now();
    m_timer = m_parts.m_loop.callAt(now + m_schedule.pauseAfterChanges(hasNews, now), [this] {
        m_timer = 0;
        ask();
    });
}

void StoreFollower::takeList(const StorePage &page)
{
    // The first page's revision: changes made while the others were read are watched again.
    if (m_listedUpTo.empty()) {
        m_pages.clear();
        m_revision = page.m_revision;
    }
    m_pages.insert(m_pages.end(), page.m_changes.begin(), page.m_changes.end());
    if (page.m_hasMore && !page.m_changes.empty()) {
        m_listedUpTo = page.m_changes.back().m_name;
        return;
    }
    m_listedUpTo.clear();
    m_isWatching = true;
    m_isListed = true;
    for (const StoreChange &change : m_pages)
        m_schedule.noteSeen(change.m_revision);
    m_handlers.m_listed(m_pages);
    m_pages.clear();
}

void StoreFollower::succeeded()
{
    if (m_failures > 0) {
        const auto away = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_lostAt);
        m_parts.m_lines.add("store_regained", {{"collection", name()},
                                               {"away_ms", std::to_string(away.count())},
                                               {"failures", std::to_string(m_failures)}});
    }
    m_failures = 0;
    m_parts.m_outage.noteEnd();
}

// What only this follower's collection suffers from is no outage: the others go on.
void StoreFollower::failed(const std::string &reason, bool isOutage)
{
    m_call.reset();
    m_parts.m_loop.cancel(m_timer);
    // A store that has lost its history may leave a watch from before it waiting in vain.
    m_isWatching = false;
    m_listedUpTo.clear();
    if (m_failures++ == 0) {
        m_lostAt = Clock::now();
        m_parts.m_lines.add(
            "store_lost",
            {{"collection", name()}, {"reason", reason}, {"revision", std::to_string(m_revision)}});
    }
    if (isOutage)
        m_parts.m_outage.noteFailure(m_kind);
    else
        m_parts.m_outage.noteEnd();
    const Milliseconds pause =
        std::min(firstPause * (1U << std::min(m_failures - 1, 5U)), longestPause);
    // Spread over half of the time, so that the fleet doesn't ask at one moment.
    const Milliseconds spread = pause / 2 + pause * static_cast<int>(m_random() % 100) / 200;
    m_timer = m_parts.m_loop.callAt(Clock::now() + spread, [this] {
        m_timer = 0;
        askWhenAllowed();
    });
}

} // namespace burdockhead
