#include "fakereplica.h"

#include <algorithm>
#include <utility>

namespace burdockhead {

namespace {

constexpr double prefixHitSeconds = 0.02;
constexpr double prefixMissSeconds = 0.2;
constexpr double stepSeconds = 0.02;
constexpr double stepSecondsPerRequest = 0.0015;
constexpr double stallSeconds = 3;
constexpr double coldSlowdown = 2;
constexpr unsigned completionsToWarm = 24;
constexpr std::size_t cachedPrefixes = 24;
constexpr std::chrono::microseconds agentOverhead{65};
constexpr double smoothingFactor = 0.1;

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

FakeReplica::FakeReplica(EventQueue &events, CacheEventCallback onCacheEvent)
    : m_events(events)
    , m_onCacheEvent(std::move(onCacheEvent))
    , m_cache(cachedPrefixes)
{}

double FakeReplica::capacity()
{
    const double decode = meanTokens * (stepSeconds + stepSecondsPerRequest * warmLimit);
    return warmLimit / ((prefixHitSeconds + prefixMissSeconds) / 2 + decode);
}

void FakeReplica::offer(const std::shared_ptr<FakeJob> &job)
{
    // The agent handles attempts one at a time, including rejected ones.
    const TimePoint begin = std::max(m_agentFreeAt, m_events.now());
    m_agentFreeAt = begin + agentOverhead;
    m_events.schedule(m_agentFreeAt - m_events.now(), [this, job] { handle(job); });
}

void FakeReplica::handle(const std::shared_ptr<FakeJob> &job)
{
    if (m_stopped) {
        m_events.schedule(m_detectionDelay,
                          [job] { job->m_onEnd(AttemptOutcome::Unreachable, LoadReport()); });
        return;
    }
    if (m_failsImmediately)
        return job->m_onEnd(AttemptOutcome::Failed, report());
    if (m_running.size() < limit())
        return run(job);
    if (m_queue.size() >= queueLimit)
        return job->m_onEnd(AttemptOutcome::RefusedNotRun, report());
    m_queue.push_back(job);
}

void FakeReplica::cancel(const std::shared_ptr<FakeJob> &job)
{
    m_running.remove(job);
    std::erase(m_queue, job);
    startQueued();
}

void FakeReplica::stop(Duration detectionDelay)
{
    m_stopped = true;
    m_detectionDelay = detectionDelay;
    for (const auto &job : std::exchange(m_running, {}))
        m_events.schedule(detectionDelay, [job] { job->m_onEnd(AttemptOutcome::Unreachable, {}); });
    for (const auto &job : std::exchange(m_queue, {}))
        m_events.schedule(detectionDelay, [job] { job->m_onEnd(AttemptOutcome::Unreachable, {}); });
}

void FakeReplica::start()
{
    m_stopped = false;
    m_cold = true;
    m_completedWhileCold = 0;
    m_cache.clear();
}

LoadReport FakeReplica::report() const
{
    return {static_cast<std::uint32_t>(m_running.size()),
            static_cast<std::uint32_t>(m_queue.size()),
            limit(),
            static_cast<std::uint32_t>(m_serviceMicroseconds),
            m_cold,
            false};
}

void FakeReplica::run(const std::shared_ptr<FakeJob> &job)
{
    m_running.push_back(job);
    const bool hit = lookUp(job->m_request.m_prefixHash);
    const double factor = m_slowdown * (m_cold ? coldSlowdown : 1);
    const double prefill = factor * (hit ? prefixHitSeconds : prefixMissSeconds);
    const double batch = static_cast<double>(m_running.size());
    const double decode = factor * job->m_tokens * (stepSeconds + stepSecondsPerRequest * batch);
    const double stall = std::bernoulli_distribution(m_stallShare)(m_random) ? stallSeconds : 0;
    m_events.schedule(seconds(stall + prefill), [this, job, hit] {
        if (isRunning(job))
            job->m_onFirstChunk(hit);
    });
    const Duration total = seconds(stall + prefill + decode);
    m_events.schedule(total, [this, job, total] {
        if (isRunning(job))
            finish(job, total);
    });
}

void FakeReplica::finish(const std::shared_ptr<FakeJob> &job, Duration elapsed)
{
    const double microseconds = std::chrono::duration<double, std::micro>(elapsed).count();
    m_serviceMicroseconds +=
        (microseconds - m_serviceMicroseconds) * (m_serviceMicroseconds == 0 ? 1 : smoothingFactor);
    m_running.remove(job);
    if (m_cold && ++m_completedWhileCold >= completionsToWarm)
        m_cold = false;
    startQueued();
    job->m_onEnd(AttemptOutcome::Completed, report());
}

bool FakeReplica::isRunning(const std::shared_ptr<FakeJob> &job) const
{
    return std::find(m_running.begin(), m_running.end(), job) != m_running.end();
}

void FakeReplica::startQueued()
{
    while (!m_queue.empty() && m_running.size() < limit()) {
        const auto next = m_queue.front();
        m_queue.pop_front();
        if (next->m_request.m_deadline > m_events.now())
            run(next);
        else
            next->m_onEnd(AttemptOutcome::RefusedNotRun, report());
    }
}

bool FakeReplica::lookUp(std::uint64_t prefix)
{
    if (prefix == 0 || m_cache.touch(prefix))
        return true;
    const auto evicted = m_cache.store(prefix);
    m_onCacheEvent(prefix, true);
    if (evicted)
        m_onCacheEvent(*evicted, false);
    return false;
}

} // namespace burdockhead
