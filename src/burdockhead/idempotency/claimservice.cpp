#include <burdockhead/idempotency/claimservice.h>
#include <burdockhead/idempotency/claimshardwriter.h>

#include <algorithm>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <xxhash.h>

namespace burdockhead {

namespace {

// The worker thread's state of one shard.
struct ShardState
{
    ClaimShardWriter m_writer;
    std::vector<PendingClaim> m_batch;
    TimePoint m_nextProcessingAt;
};

void fail(const PendingClaim &pending, const char *reason, ClaimServiceCounters &counters)
{
    ++counters.m_failed;
    pending.m_handler(std::nullopt, {ErrorKind::PlatformUnavailable, reason});
}

void failExpired(std::vector<PendingClaim> &batch, TimePoint now, ClaimServiceCounters &counters)
{
    std::erase_if(batch, [&](const PendingClaim &pending) {
        if (pending.m_deadline > now)
            return false;
        fail(pending, "the platform did not answer in time", counters);
        return true;
    });
}

} // namespace

struct ClaimService::Private
{
    Private(ObjectApi &api, const ClaimServiceOptions &options, WallClock wallClock)
        : m_options(options)
        , m_wallClock(std::move(wallClock))
        , m_incoming(options.m_shardCount)
    {
        for (std::uint32_t shard = 0; shard < options.m_shardCount; ++shard)
            m_shards.push_back({ClaimShardWriter(api, options, shard), {}, {}});
    }

    void run();
    bool takeIncoming();
    std::optional<TimePoint> nextProcessingAt() const;
    void processShard(ShardState &shard);
    void publishCounters();

    const ClaimServiceOptions m_options;
    const WallClock m_wallClock;

    std::mutex m_mutex; // Guards the members up to the blank line.
    std::condition_variable m_wake;
    std::vector<std::vector<PendingClaim>> m_incoming; // By shard.
    std::size_t m_pendingCount = 0;                    // All unanswered claims.
    bool m_hasIncoming = false;
    bool m_isStopping = false;
    ClaimServiceCounters m_publishedCounters;

    std::vector<ShardState>
        m_shards; // Used by the worker thread without the mutex, as are the counters.
    ClaimServiceCounters m_counters;
    std::thread m_worker;
};

// Waits for work and moves incoming claims to their shards' batches; false when the service stops.
bool ClaimService::Private::takeIncoming()
{
    std::unique_lock lock(m_mutex);
    const auto hasWork = [this] { return m_isStopping || m_hasIncoming; };
    if (const auto next = nextProcessingAt())
        m_wake.wait_until(lock, *next, hasWork);
    else
        m_wake.wait(lock, hasWork);
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        std::vector<PendingClaim> &batch = m_shards[index].m_batch;
        std::ranges::move(m_incoming[index], std::back_inserter(batch));
        m_incoming[index].clear();
    }
    m_hasIncoming = false;
    return !m_isStopping;
}

std::optional<TimePoint> ClaimService::Private::nextProcessingAt() const
{
    std::optional<TimePoint> next;
    for (const ShardState &shard : m_shards) {
        const TimePoint at = shard.m_batch.empty()
                                 ? std::max(shard.m_writer.nextCheckAt(), shard.m_nextProcessingAt)
                                 : shard.m_nextProcessingAt;
        if (at != TimePoint::max() && (!next || at < *next))
            next = at;
    }
    return next;
}

void ClaimService::Private::processShard(ShardState &shard)
{
    const TimePoint now = Clock::now();
    failExpired(shard.m_batch, now, m_counters);
    const bool isDue = !shard.m_batch.empty() || now >= shard.m_writer.nextCheckAt();
    if (!isDue || now < shard.m_nextProcessingAt)
        return;
    shard.m_writer.process(shard.m_batch, m_wallClock(), now, m_counters);
    shard.m_nextProcessingAt = now + shard.m_writer.interval();
}

void ClaimService::Private::publishCounters()
{
    const std::scoped_lock lock(m_mutex);
    m_publishedCounters = m_counters;
    m_pendingCount = 0;
    for (std::size_t index = 0; index < m_shards.size(); ++index)
        m_pendingCount += m_shards[index].m_batch.size() + m_incoming[index].size();
}

void ClaimService::Private::run()
{
    while (takeIncoming()) {
        for (ShardState &shard : m_shards)
            processShard(shard);
        publishCounters();
    }
    for (ShardState &shard : m_shards) {
        for (const PendingClaim &pending : shard.m_batch)
            fail(pending, "the process stops", m_counters);
    }
}

ClaimService::ClaimService(ObjectApi &api, const ClaimServiceOptions &options, WallClock wallClock)
    : m_d(std::make_unique<Private>(api, options, std::move(wallClock)))
{
    m_d->m_worker = std::thread([this] { m_d->run(); });
}

ClaimService::~ClaimService()
{
    {
        const std::scoped_lock lock(m_d->m_mutex);
        m_d->m_isStopping = true;
    }
    m_d->m_wake.notify_one();
    m_d->m_worker.join();
}

void ClaimService::claim(const Claim &claim, TimePoint deadline, Handler handler)
{
    const std::size_t shard =
        XXH64(claim.m_key.data(), claim.m_key.size(), 0) % m_d->m_options.m_shardCount;
    {
        const std::scoped_lock lock(m_d->m_mutex);
        if (!m_d->m_isStopping && m_d->m_pendingCount < m_d->m_options.m_queueLimit) {
            m_d->m_incoming[shard].push_back({claim, deadline, std::move(handler)});
            ++m_d->m_pendingCount;
            m_d->m_hasIncoming = true;
            m_d->m_wake.notify_one();
            return;
        }
    }
    handler(std::nullopt, {ErrorKind::Overloaded, "too many claims wait for the platform"});
}

std::optional<Binding> ClaimService::claimAndWait(const Claim &claim, TimePoint deadline,
                                                  Failure &failure)
{
    std::promise<std::optional<Binding>> promise;
    this->claim(claim, deadline, [&](std::optional<Binding> binding, Failure reason) {
        failure = std::move(reason);
        promise.set_value(std::move(binding));
    });
    return promise.get_future().get();
}

ClaimServiceCounters ClaimService::counters() const
{
    const std::scoped_lock lock(m_d->m_mutex);
    return m_d->m_publishedCounters;
}

} // namespace burdockhead
