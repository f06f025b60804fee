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

// The worker's own view of one shard.
struct ShardWork
{
    ClaimShardWriter m_writer;
    std::vector<PendingClaim> m_batch;
    TimePoint m_notBefore;
};

void fail(const PendingClaim &pending, const char *reason, ClaimServiceCounters &counters)
{
    ++counters.m_failed;
    pending.m_handler(std::nullopt, {ErrorKind::PlatformUnavailable, reason});
}

void failOverdue(std::vector<PendingClaim> &batch, TimePoint now, ClaimServiceCounters &counters)
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
    Private(ObjectApi &api, const ClaimServiceOptions &limits, WallClock wallClock)
        : m_limits(limits)
        , m_wallClock(std::move(wallClock))
        , m_arrived(limits.m_shardCount)
    {
        for (std::uint32_t shard = 0; shard < limits.m_shardCount; ++shard)
            m_shards.push_back({ClaimShardWriter(api, limits, shard), {}, {}});
    }

    void run();
    bool takeArrivals();
    std::optional<TimePoint> nextWork() const;
    void workOn(ShardWork &shard);
    void publishCounters();

    const ClaimServiceOptions m_limits;
    const WallClock m_wallClock;

    std::mutex m_mutex; // Guards the members up to the blank line.
    std::condition_variable m_wake;
    std::vector<std::vector<PendingClaim>> m_arrived; // By shard.
    std::size_t m_waiting = 0;                        // All claims without an answer.
    bool m_hasArrivals = false;
    bool m_stopping = false;
    ClaimServiceCounters m_published;

    std::vector<ShardWork> m_shards; // These belong to the worker.
    ClaimServiceCounters m_counters;
    std::thread m_worker;
};

// Takes over what has arrived; false when the service stops.
bool ClaimService::Private::takeArrivals()
{
    std::unique_lock lock(m_mutex);
    const auto hasNews = [this] { return m_stopping || m_hasArrivals; };
    if (const auto next = nextWork())
        m_wake.wait_until(lock, *next, hasNews);
    else
        m_wake.wait(lock, hasNews);
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        std::vector<PendingClaim> &batch = m_shards[index].m_batch;
        std::ranges::move(m_arrived[index], std::back_inserter(batch));
        m_arrived[index].clear();
    }
    m_hasArrivals = false;
    return !m_stopping;
}

std::optional<TimePoint> ClaimService::Private::nextWork() const
{
    std::optional<TimePoint> next;
    for (const ShardWork &shard : m_shards) {
        if (!shard.m_batch.empty() && (!next || shard.m_notBefore < *next))
            next = shard.m_notBefore;
    }
    return next;
}

void ClaimService::Private::workOn(ShardWork &shard)
{
    const TimePoint now = Clock::now();
    failOverdue(shard.m_batch, now, m_counters);
    if (shard.m_batch.empty() || now < shard.m_notBefore)
        return;
    shard.m_writer.process(shard.m_batch, m_wallClock(), m_counters);
    shard.m_notBefore = now + shard.m_writer.interval();
}

void ClaimService::Private::publishCounters()
{
    const std::scoped_lock lock(m_mutex);
    m_published = m_counters;
    m_waiting = 0;
    for (std::size_t index = 0; index < m_shards.size(); ++index)
        m_waiting += m_shards[index].m_batch.size() + m_arrived[index].size();
}

void ClaimService::Private::run()
{
    while (takeArrivals()) {
        for (ShardWork &shard : m_shards)
            workOn(shard);
        publishCounters();
    }
    for (ShardWork &shard : m_shards) {
        for (const PendingClaim &pending : shard.m_batch)
            fail(pending, "the process stops", m_counters);
    }
}

ClaimService::ClaimService(ObjectApi &api, const ClaimServiceOptions &limits, WallClock wallClock)
    : m_d(std::make_unique<Private>(api, limits, std::move(wallClock)))
{
    m_d->m_worker = std::thread([this] { m_d->run(); });
}

ClaimService::~ClaimService()
{
    {
        const std::scoped_lock lock(m_d->m_mutex);
        m_d->m_stopping = true;
    }
    m_d->m_wake.notify_one();
    m_d->m_worker.join();
}

void ClaimService::claim(const Claim &claim, TimePoint deadline, Handler handler)
{
    const std::size_t shard =
        XXH64(claim.m_key.data(), claim.m_key.size(), 0) % m_d->m_limits.m_shardCount;
    {
        const std::scoped_lock lock(m_d->m_mutex);
        if (!m_d->m_stopping && m_d->m_waiting < m_d->m_limits.m_queueLimit) {
            m_d->m_arrived[shard].push_back({claim, deadline, std::move(handler)});
            ++m_d->m_waiting;
            m_d->m_hasArrivals = true;
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
    return m_d->m_published;
}

} // namespace burdockhead
