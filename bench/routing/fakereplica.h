#pragma once

#include "eventqueue.h"
#include "lrucache.h"
#include <burdockhead/admission/loadreport.h>
#include <burdockhead/base/random.h>
#include <burdockhead/routing/attemptoutcome.h>
#include <burdockhead/routing/requestattributes.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>

namespace burdockhead {

// An attempt at a fake replica.
struct FakeJob
{
    RequestAttributes m_request;
    double m_tokens = 0;
    std::function<void(bool hit)> m_onFirstChunk;
    std::function<void(AttemptOutcome, const LoadReport &)> m_onEnd;
};

// Simulates an agent and its engine in virtual time: slots whose service time grows with the batch
// size, a bounded queue, a prefix cache and cold starts.
class FakeReplica
{
public:
    using CacheEventCallback = std::function<void(std::uint64_t prefix, bool stored)>;

    FakeReplica(EventQueue &events, CacheEventCallback onCacheEvent);

    // Runs, queues or rejects a job. Its callbacks are called without network delay.
    void offer(const std::shared_ptr<FakeJob> &job);

    // Cancels a job that is running or queued, without calling its callbacks.
    void cancel(const std::shared_ptr<FakeJob> &job);

    // Simulates a crash. Running and queued jobs end as unreachable after `detectionDelay`, and so
    // do new ones until the replica is started again.
    void stop(Duration detectionDelay);

    // Restarts the replica, cold and with an empty cache.
    void start();

    LoadReport report() const;
    std::size_t outstanding() const { return m_running.size() + m_queue.size(); }
    bool isStopped() const { return m_stopped; }

    double m_stallShare = 0; // Share of requests that stall for some seconds before they run.
    double m_slowdown = 1;
    bool m_failsImmediately = false;

    static constexpr std::uint32_t coldLimit = 2;
    static constexpr std::uint32_t warmLimit = 8;
    static constexpr std::uint32_t queueLimit = 16;
    static constexpr double meanTokens = 20;

    // Returns the requests per second that a warm replica completes with all slots in use and half
    // of them prefix hits.
    static double capacity();

private:
    void handle(const std::shared_ptr<FakeJob> &job);
    void run(const std::shared_ptr<FakeJob> &job);
    bool isRunning(const std::shared_ptr<FakeJob> &job) const;
    void startQueued();
    void finish(const std::shared_ptr<FakeJob> &job, Duration elapsed);
    bool lookUp(std::uint64_t prefix);
    std::uint32_t limit() const { return m_cold ? coldLimit : warmLimit; }

    EventQueue &m_events;
    Random m_random;
    CacheEventCallback m_onCacheEvent;
    LruCache m_cache;
    std::list<std::shared_ptr<FakeJob>> m_running;
    std::deque<std::shared_ptr<FakeJob>> m_queue;
    bool m_stopped = false;
    bool m_cold = false;
    unsigned m_completedWhileCold = 0;
    TimePoint m_agentFreeAt;
    Duration m_detectionDelay{0};
    double m_serviceMicroseconds = 0;
};

} // namespace burdockhead
