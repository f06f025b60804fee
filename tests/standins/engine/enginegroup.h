#pragma once

#include "enginerank.h"
#include <burdockhead/http/httpserver.h>

#include <atomic>
#include <deque>
#include <memory>
#include <thread>
#include <vector>

namespace burdockhead {

// The ranks of one stand-in engine. They advance in lock-step: a step begins when every
// rank lets it begin, and lasts as long as the slowest rank takes.
class EngineGroup
{
public:
    // A rank for each option set; a step usually lasts stepTime.
    EngineGroup(const std::vector<RankOptions> &options, std::chrono::microseconds stepTime);
    ~EngineGroup();
    EngineGroup(const EngineGroup &) = delete;
    EngineGroup &operator=(const EngineGroup &) = delete;

    // Opens the ranks' ports, in their order, and begins to step. False when a port is taken.
    bool start(const std::vector<SocketAddress> &addresses);

private:
    struct StepRecord
    {
        std::uint64_t m_step = 0;
        std::vector<std::uint64_t> m_versions;
    };

    void run();
    bool allBegin(TimePoint now);
    void runStep(TimePoint now);
    std::chrono::microseconds stepTime() const;
    Json stepLogAfter(std::uint64_t after) const;

    std::chrono::microseconds m_stepTime;
    std::vector<std::unique_ptr<EngineRank>> m_ranks;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    std::uint64_t m_nextStep = 0;
    mutable std::mutex m_logMutex; // Taken after a rank's own.
    std::deque<StepRecord> m_log;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace burdockhead
