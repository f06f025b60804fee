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

// One attempt at a fake replica.
struct FakeJob
{
    RequestAttributes m_facts;
    double m_tokens = 0;
    std::function<void(bool hit)> m_firstChunk;
    std::function<void(AttemptOutcome, const LoadReport &)> m_end;
};

// An agent and its engine in virtual time: slots with batching that slows all of them, a
// bounded queue, a prefix cache, cold start.
class FakeReplica
{
public:
    using CacheEvent = std::function<void(std::uint64_t prefix, bool stored)>;

    FakeReplica(EventQueue &events, CacheEvent cacheEvent);

    // Takes, queues or refuses a job. Its callbacks are called at this replica, without delay.
    void offer(const std::shared_ptr<FakeJob> &job);

    // Drops a job, if it is still here, without calling it back.
    void cancel(const std::shared_ptr<FakeJob> &job);

    // Loses everything. Jobs in hand end as unreachable after `detection`, and so do new ones
    // until the replica is started again.
    void stop(Duration detection);

    // Starts again, cold and empty.
    void start();

    LoadReport report() const;
    std::size_t outstanding() const { return m_running.size() + m_queue.size(); }
    bool isStopped() const { return m_stopped; }

    double m_stallShare = 0; // Of requests that wait for some seconds before they run.
    double m_slowness = 1;
    bool m_failsAtOnce = false;

    static constexpr std::uint32_t coldLimit = 2;
    static constexpr std::uint32_t warmLimit = 8;
    static constexpr std::uint32_t queueLimit = 16;
    static constexpr double meanTokens = 20;

    // Requests a second that a warm replica completes with every slot in use, half of them hits.
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
    CacheEvent m_cacheEvent;
    LruCache m_cache;
    std::list<std::shared_ptr<FakeJob>> m_running;
    std::deque<std::shared_ptr<FakeJob>> m_queue;
    bool m_stopped = false;
    bool m_cold = false;
    unsigned m_completedCold = 0;
    TimePoint m_agentFreeAt;
    Duration m_detection{0};
    double m_serviceMicroseconds = 0;
};

} // namespace burdockhead
