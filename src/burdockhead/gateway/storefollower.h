#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/gateway/changetimeestimator.h>
#include <burdockhead/gateway/collectionview.h>
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

// Dependencies that store followers share.
struct StoreFollowerDependencies
{
    EventLoop &m_loop;
    HttpClientPool &m_client;
    const StoreProtocol &m_protocol;
    SocketAddress m_store;
    LineSink &m_log;
    Metrics &m_metrics;
    StoreOutage &m_outage;
    // Called with news that other processes may miss, since a connection to the store was
    // unresponsive lately. May be empty.
    std::function<void()> m_onNewsAfterSilence;
};

// How changes reached a follower.
struct StoreUpdate
{
    TimePoint m_madeAfter;     // The earliest time at which the changes may have been made.
    bool m_isRestored = false; // The store has come back from an older copy since the last update.
    bool m_isList = false;
    const std::string &m_body; // The response that had the changes, or the last page of them.
};

// Follows one collection of the store: lists it, then watches for changes, and lists again when the
// store has dropped the history or a call has failed. Failed calls are retried with exponential
// backoff, so that an outage costs few calls.
class StoreFollower : private HttpCallObserver
{
public:
    struct Handlers
    {
        // Called with the whole collection after it was listed.
        std::function<void(const std::vector<StoreChange> &, const StoreUpdate &)> m_listed;
        // Called with changes in order; returns whether any was new to this process.
        std::function<bool(const std::vector<StoreChange> &, const StoreUpdate &)> m_changed;
    };

    StoreFollower(const StoreFollowerDependencies &dependencies, StoreCollection collection,
                  Handlers handlers, Random seed);
    ~StoreFollower();
    StoreFollower(const StoreFollower &) = delete;
    StoreFollower &operator=(const StoreFollower &) = delete;

    // Starts to follow the collection.
    void start();

    // Lists the collection once without watching it.
    void readOnce();

    void stop();

    // Sets the number of gateways that share news of changes; the length of watches depends on it.
    void setGatewayCount(std::size_t gatewayCount) { m_gatewayCount = gatewayCount; }

    // Returns the newest revision that this follower has applied, as toNumber() gives it.
    std::uint64_t newestRevision() const { return m_schedule.newestRevision(); }
    void onRevisionKnownElsewhere(std::uint64_t revision);

    // Lists the collection anew if the view is of an older era: the store may take a watch of that
    // view for one of its own era and return nothing until the watch ends.
    void onEraKnownElsewhere(std::uint64_t era);

    // Returns whether the collection has been listed once.
    bool isListed() const { return m_isListed; }

    // Returns the store's era in this follower's view.
    std::uint64_t era() const { return m_view.era(); }

private:
    void callHead(const HttpHead &head) override;
    void callBody(std::string_view bytes) override;
    void callEnded(CallEnd end) override;

    void sendRequest();
    void sendWhenAllowed();
    void onResponse();
    void onListPage(const StorePage &page, TimePoint madeAfter);
    void onChanges(const StorePage &page, TimePoint madeAfter);
    void recordRevisions(const std::vector<StoreChange> &changes);
    void recordView();
    void onTimeout(bool isWatching);
    void logRestored();
    void restartCall();
    void onFailure(const std::string &reason, bool isStoreOutage);
    void onSuccess();
    const char *collectionName() const;

    StoreFollowerDependencies m_dependencies;
    const StoreCollection m_collection;
    const Handlers m_handlers;
    Random m_random;
    std::unique_ptr<HttpCall> m_call;
    TimerId m_timerId = 0;
    int m_status = 0;
    std::uint64_t m_responseEra = 0;
    std::string m_body;
    bool m_isReadOnce = false;
    bool m_isListed = false;
    CollectionView m_view;
    std::uint64_t m_eraKnownElsewhere = 0;
    WatchSchedule m_schedule;
    ChangeTimeEstimator m_changeTimes;
    std::size_t m_gatewayCount = 1;
    unsigned m_consecutiveFailures = 0;
    TimePoint m_lastSilenceAt = TimePoint::min(); // When a watch timed out without a response.
    TimePoint m_outageStartedAt;
};

} // namespace burdockhead
