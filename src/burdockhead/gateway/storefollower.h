#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/gateway/storeoutage.h>
#include <burdockhead/gateway/storeprotocol.h>
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
struct StoreFollowerDependencies
{
    EventLoop &m_loop;
    HttpClientPool &m_client;
    const StoreProtocol &m_protocol;
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

    StoreFollower(const StoreFollowerDependencies &parts, StoreCollection kind, Handlers handlers,
                  Random seed);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    // Follows the collection from now on.
    void start();

    // Lists the collection once and leaves it at that.
    void readOnce();

    void stop();

    // How many gateways tell each other of changes; the length of watches depends on it.
    void setGatewayCount(std::size_t size) { m_gatewayCount = size; }

    // The newest change that this follower has taken, and what another gateway has.
    std::uint64_t newestRevision() const { return m_schedule.newestRevision(); }
    void onRevisionKnownElsewhere(std::uint64_t newestChange);

    // Whether the collection has been listed once.
    bool isListed() const { return m_isListed; }

private:
    void callHead(const HttpHead &head) override;
    void callBody(std::string_view bytes) override;
    void callEnded(CallEnd end) override;

    void sendRequest();
    void sendWhenAllowed();
    void onResponse();
    void applyListPage(const StorePage &page);
    void onFailure(const std::string &reason, bool isOutage);
    void onSuccess();
    const char *collectionName() const;

    StoreFollowerDependencies m_dependencies;
    const StoreCollection m_collection;
    const Handlers m_handlers;
    Random m_random;
    std::unique_ptr<HttpCall> m_call;
    TimerId m_timerId = 0;
    int m_status = 0;
    std::string m_body;
    bool m_isWatching = false;
    bool m_isReadOnce = false;
    bool m_isListed = false;
    std::uint64_t m_revision = 0;
    std::string m_lastListedName;
    std::vector<StoreChange> m_listedChanges;
    WatchSchedule m_schedule;
    std::size_t m_gatewayCount = 1;
    unsigned m_consecutiveFailures = 0;
    TimePoint m_outageStartedAt;
};

} // namespace burdockhead
