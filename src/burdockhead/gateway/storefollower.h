#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/gateway/storedialect.h>
#include <burdockhead/gateway/storeoutage.h>
#include <burdockhead/gateway/watchschedule.h>
#include <burdockhead/net/httpclientpool.h>
#include <burdockhead/observe/linesink.h>
#include <burdockhead/observe/metrics.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdockhead {

// What store followers share.
struct StoreFollowerParts
{
    EventLoop &m_loop;
    HttpClientPool &m_client;
    const StoreDialect &m_dialect;
    SocketAddress m_store;
    LineSink &m_lines;
    Metrics &m_metrics;
    StoreOutage &m_outage;
};

// Follows one collection of the store: lists it, then watches for changes, and lists again
// when the history is gone or a call has failed. Calls that fail are repeated with growing pauses,
// so that an outage costs few calls.
class StoreFollower : private HttpCallObserver
{
public:
    struct Handlers
    {
        // The whole collection as it is now.
        std::function<void(const std::vector<StoreChange> &)> m_listed;
        // Changes in their order; returns whether any was news to this process.
        std::function<bool(const std::vector<StoreChange> &)> m_changed;
    };

    StoreFollower(const StoreFollowerParts &parts, StoreKind kind, Handlers handlers, Random seed);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    // Follows the collection from now on.
    void start();

    // Lists the collection once and leaves it at that.
    void readOnce();

    void stop();

    // How many gateways tell each other of changes; the length of watches depends on it.
    void setFleet(std::size_t size) { m_fleet = size; }

    // The newest change that this follower has taken, and what another gateway has.
    std::uint64_t newestChange() const { return m_schedule.newest(); }
    void noteKnownElsewhere(std::uint64_t newestChange);

    // Whether the collection has been listed once.
    bool isListed() const { return m_isListed; }

private:
    void callHead(const HttpHead &head) override;
    void callBody(std::string_view bytes) override;
    void callEnded(CallEnd end) override;

    void ask();
    void askWhenAllowed();
    void answered();
    void takeList(const StorePage &page);
    void failed(const std::string &reason, bool isOutage);
    void succeeded();
    const char *name() const;

    StoreFollowerParts m_parts;
    const StoreKind m_kind;
    const Handlers m_handlers;
    Random m_random;
    std::unique_ptr<HttpCall> m_call;
    TimerId m_timer = 0;
    int m_status = 0;
    std::string m_body;
    bool m_isWatching = false;
    bool m_isReadOnce = false;
    bool m_isListed = false;
    std::uint64_t m_revision = 0;
    std::string m_listedUpTo;
    std::vector<StoreChange> m_pages;
    WatchSchedule m_schedule;
    std::size_t m_fleet = 1;
    unsigned m_failures = 0;
    TimePoint m_lostAt;
};

} // namespace burdockhead
