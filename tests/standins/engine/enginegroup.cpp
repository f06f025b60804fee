#include "enginegroup.h"

#include <algorithm>
#include <iostream>

namespace burdockhead {

namespace {

constexpr std::size_t maxLoggedSteps = 20'000;

} // namespace

EngineGroup::EngineGroup(const std::vector<RankOptions> &options,
                         std::chrono::microseconds stepTime)
    : m_stepTime(stepTime)
{
    for (const RankOptions &rankOptions : options) {
        auto rank = std::make_unique<EngineRank>(rankOptions);
        rank->setStepLog([this](std::uint64_t after) { return stepLogAfter(after); });
        m_ranks.push_back(std::move(rank));
    }
}

EngineGroup::~EngineGroup()
{
    for (const auto &server : m_servers)
        server->stop();
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

bool EngineGroup::start(const std::vector<SocketAddress> &addresses)
{
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        HttpServerOptions options;
        options.m_listen = addresses[index];
        options.m_maxBodyBytes = 4 << 20;
        EngineRank *rank = m_ranks[index].get();
        auto server = std::make_unique<HttpServer>(
            options, [rank](const HttpRequest &request, const auto &responder) {
                rank->handle(request, responder);
            });
        if (!server->start()) {
            std::cerr << options.m_listen.toString() << ": " << server->lastError() << '\n';
            return false;
        }
        m_servers.push_back(std::move(server));
    }
    m_thread = std::thread([this] { run(); });
    return true;
}

void EngineGroup::run()
{
    TimePoint next = Clock::now();
    while (!m_stopping) {
        next = std::max(next + stepTime(), Clock::now());
        std::this_thread::sleep_until(next);
        if (allBegin(Clock::now()))
            runStep(Clock::now());
    }
}

// A rank that may begin does so, and then waits for the others.
bool EngineGroup::allBegin(TimePoint now)
{
    bool all = true;
    for (const auto &rank : m_ranks)
        all = rank->tryBegin(m_nextStep, now) && all;
    return all;
}

void EngineGroup::runStep(TimePoint now)
{
    StepRecord record{m_nextStep, {}};
    for (const auto &rank : m_ranks)
        record.m_versions.push_back(rank->stepVersion());
    for (const auto &rank : m_ranks)
        rank->runStep(now);
    ++m_nextStep;
    const std::lock_guard lock(m_logMutex);
    m_log.push_back(std::move(record));
    if (m_log.size() > maxLoggedSteps)
        m_log.pop_front();
}

std::chrono::microseconds EngineGroup::stepTime() const
{
    double slowest = 1;
    for (const auto &rank : m_ranks)
        slowest = std::max(slowest, rank->slowFactor());
    return std::chrono::microseconds(static_cast<std::int64_t>(m_stepTime.count() * slowest));
}

Json EngineGroup::stepLogAfter(std::uint64_t after) const
{
    const std::lock_guard lock(m_logMutex);
    Json steps = Json::array();
    for (const StepRecord &record : m_log) {
        if (record.m_step > after)
            steps.push_back({{"step", record.m_step}, {"versions", record.m_versions}});
    }
    return {{"steps", steps}};
}

} // namespace burdockhead
