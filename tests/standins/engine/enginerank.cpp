#include "enginerank.h"

#include <algorithm>
#include <functional>

namespace burdockhead {

namespace {

constexpr std::size_t prefillBytesPerStep = 1024;

Json errorBody(const char *kind)
{
    return {{"error", {{"kind", kind}}}};
}

void readFlag(const Json &body, const char *key, bool &value)
{
    if (body.contains(key) && body[key].is_boolean())
        value = body[key].get<bool>();
}

std::uint64_t numberOr(const Json &body, const char *key, std::uint64_t fallback)
{
    const auto item = body.find(key);
    return item != body.end() && item->is_number_unsigned() ? item->get<std::uint64_t>() : fallback;
}

std::uint64_t afterOf(const HttpRequest &request)
{
    return std::strtoull(request.queryValue("after").value_or("0").c_str(), nullptr, 10);
}

} // namespace

EngineRank::EngineRank(const RankOptions &options)
    : m_options(options)
    , m_cache(options.m_prefixCapacity, options.m_eventLag)
    , m_bootId(options.m_bootId)
    , m_cold(options.m_cold)
{}

const std::vector<EngineRank::Route> &EngineRank::routes()
{
    static const std::vector<Route> table = {
        {"POST", "/v1/chat/completions", false, &EngineRank::completions},
        {"GET", "/load", false, &EngineRank::load},
        {"GET", "/stats", true, &EngineRank::stats},
        {"POST", "/mark", true, &EngineRank::mark},
        {"POST", "/faults", true, &EngineRank::faults},
        {"GET", "/cache-events", false, &EngineRank::cacheEvents},
        {"POST", "/orders", false, &EngineRank::orders},
        {"GET", "/expert-map", false, &EngineRank::expertMap},
        {"GET", "/step-log", true, &EngineRank::stepLog},
    };
    return table;
}

void EngineRank::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const std::lock_guard lock(m_mutex);
    ++m_callsByPath[request.m_path];
    for (const Route &route : routes()) {
        if (request.m_method != route.m_method || request.m_path != route.m_path)
            continue;
        if (!route.m_answersWhileDown && isDown(Clock::now()))
            dropConnections(m_options.m_port);
        else
            (this->*route.m_handler)(request, responder);
        return;
    }
    sendJson(*responder, 404, m_bootId, errorBody("unknown_path"));
}

bool EngineRank::tryBegin(std::uint64_t step, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_nextStep > step)
        return true;
    if (now < m_stalledUntil || (m_stepLimit != 0 && step >= m_stepLimit))
        return false;
    m_nextStep = step + 1;
    m_stepVersion = versionAt(step);
    return true;
}

void EngineRank::runStep(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (auto position = m_running.begin(); position != m_running.end();)
        advance(position);
    noteLoad(now);
}

std::uint64_t EngineRank::stepVersion() const
{
    const std::lock_guard lock(m_mutex);
    return m_stepVersion;
}

double EngineRank::slowFactor() const
{
    const std::lock_guard lock(m_mutex);
    return m_slowFactor;
}

void EngineRank::completions(const HttpRequest &request, const Responder &responder)
{
    auto completion = CompletionRequest::read(request);
    if (!completion) {
        sendJson(*responder, 400, m_bootId, errorBody("malformed_request"));
        return;
    }
    Generation generation;
    generation.m_responder = responder;
    generation.m_next = completion->m_resumeFrom;
    const bool hit = m_cache.use(prefixHashOf(completion->m_prompt), Clock::now());
    m_counters.m_prefixHits += hit ? 1 : 0;
    generation.m_prefillSteps = hit ? 0 : completion->m_prompt.size() / prefillBytesPerStep;
    generation.m_request = std::move(*completion);
    if (m_failNext > 0) {
        --m_failNext;
        generation.m_breakAfter = m_failAfterTokens;
    }
    admit(std::move(generation));
}

void EngineRank::admit(Generation generation)
{
    ++m_counters.m_started;
    ++m_startedSinceMark;
    m_running.push_back(std::move(generation));
    if (m_cross && m_running.size() > 1)
        std::swap(m_running.front().m_responder, m_running.back().m_responder);
    countRunning();
}

void EngineRank::countRunning()
{
    const std::uint64_t running = m_running.size();
    m_counters.m_maxRunning = std::max(m_counters.m_maxRunning, running);
    if (m_cold)
        m_counters.m_maxRunningWhileCold = std::max(m_counters.m_maxRunningWhileCold, running);
    if (running <= carry())
        return;
    ++m_counters.m_overloadEvents;
    if (m_options.m_fallsOver)
        fallOver(Clock::now());
}

void EngineRank::fallOver(TimePoint now)
{
    m_downUntil = now + m_options.m_downTime;
    turnCold();
}

void EngineRank::turnCold()
{
    ++m_bootId;
    m_cold = true;
    m_completedSinceCold = 0;
    dropConnections(m_options.m_port);
    m_counters.m_broken += std::erase_if(m_running, [this](const Generation &generation) {
        return generation.m_begun || !m_keepsUnbegun;
    });
    m_cache.clear(Clock::now());
}

void EngineRank::advance(std::list<Generation>::iterator &position)
{
    Generation &generation = *position;
    if (generation.m_breakAfter == 0) {
        generation.breakOff();
        ++m_counters.m_broken;
        position = m_running.erase(position);
        return;
    }
    if (generation.m_responder->gone()) {
        ++m_counters.m_cancelled;
        position = m_running.erase(position);
        return;
    }
    if (generation.m_prefillSteps > 0) {
        --generation.m_prefillSteps;
        ++position;
        return;
    }
    if (!generation.complete() && generation.advance(m_bootId) && generation.m_breakAfter > 0)
        --generation.m_breakAfter;
    if (!generation.complete()) {
        ++position;
        return;
    }
    generation.finish(m_bootId);
    noteCompletion();
    position = m_running.erase(position);
}

void EngineRank::noteCompletion()
{
    ++m_counters.m_completed;
    if (m_cold && ++m_completedSinceCold >= m_options.m_warmAfter)
        m_cold = false;
}

void EngineRank::noteLoad(TimePoint now)
{
    m_load.push_back({now, m_running.size(), m_bootId, m_cold});
    while (m_load.size() > 1 && m_load[1].m_taken + m_options.m_loadLag <= now)
        m_load.pop_front();
}

void EngineRank::load(const HttpRequest &, const Responder &responder)
{
    const TimePoint now = Clock::now();
    LoadSnapshot report{now, 0, m_bootId, m_cold};
    if (!m_load.empty())
        report = m_load.front();
    sendJson(*responder, 200, m_bootId,
             {{"running", report.m_running},
              {"boot_id", report.m_bootId},
              {"cold", report.m_cold},
              {"report_age", millisecondsUntil(now, report.m_taken)}});
}

void EngineRank::stats(const HttpRequest &, const Responder &responder)
{
    sendJson(*responder, 200, m_bootId,
             {{"boot_id", m_bootId},
              {"cold", m_cold},
              {"running", m_running.size()},
              {"max_running", m_counters.m_maxRunning},
              {"max_running_while_cold", m_counters.m_maxRunningWhileCold},
              {"overload_events", m_counters.m_overloadEvents},
              {"started", m_counters.m_started},
              {"completed", m_counters.m_completed},
              {"cancelled", m_counters.m_cancelled},
              {"broken", m_counters.m_broken},
              {"prefix_hits", m_counters.m_prefixHits},
              {"work_after_mark", m_startedSinceMark},
              {"fences", m_fences},
              {"orders", m_orders},
              {"calls", m_callsByPath}});
}

void EngineRank::mark(const HttpRequest &, const Responder &responder)
{
    m_startedSinceMark = 0;
    m_counters.m_maxRunning = m_running.size();
    m_counters.m_maxRunningWhileCold = m_cold ? m_running.size() : 0;
    sendJson(*responder, 200, m_bootId, {{"marked", true}});
}

void EngineRank::faults(const HttpRequest &request, const Responder &responder)
{
    const auto body = readJson(request);
    if (!body) {
        sendJson(*responder, 400, m_bootId, errorBody("malformed_request"));
        return;
    }
    if (body->contains("stall_ms"))
        m_stalledUntil = Clock::now() + Milliseconds(numberOr(*body, "stall_ms", 0));
    m_failNext = numberOr(*body, "fail_next", m_failNext);
    m_failAfterTokens =
        static_cast<std::int64_t>(numberOr(*body, "fail_after_tokens", m_failAfterTokens));
    if (body->contains("slow_factor") && (*body)["slow_factor"].is_number())
        m_slowFactor = (*body)["slow_factor"].get<double>();
    bool gap = false;
    readFlag(*body, "cache_gap", gap);
    if (body->contains("cache_gap"))
        m_cache.setGap(gap);
    bool ignoreFence = !m_options.m_checksFencing;
    readFlag(*body, "ignore_fence", ignoreFence);
    m_options.m_checksFencing = !ignoreFence;
    readFlag(*body, "cross", m_cross);
    readFlag(*body, "down", m_down);
    readFlag(*body, "falls_over", m_options.m_fallsOver);
    readFlag(*body, "keeps_unbegun", m_keepsUnbegun);
    bool cold = false;
    readFlag(*body, "cold", cold);
    sendJson(*responder, 200, m_bootId, {{"ok", true}});
    if (cold || m_down)
        turnCold();
}

void EngineRank::cacheEvents(const HttpRequest &request, const Responder &responder)
{
    sendJson(*responder, 200, m_bootId,
             {{"events", m_cache.eventsAfter(afterOf(request), Clock::now())}});
}

void EngineRank::orders(const HttpRequest &request, const Responder &responder)
{
    const auto body = readJson(request);
    const Json payload = body ? body->value("payload", Json::object()) : Json();
    if (!payload.is_object() || !body->contains("type") || !(*body)["type"].is_string()) {
        sendJson(*responder, 400, m_bootId, errorBody("malformed_request"));
        return;
    }
    const auto type = (*body)["type"].get<std::string>();
    const std::uint64_t fence = numberOr(*body, "fence", 0);
    std::uint64_t &highest = m_fences[type];
    const std::uint64_t lowest = type == "step_gate" ? highest + 1 : highest;
    if (m_options.m_checksFencing && fence < lowest) {
        sendJson(*responder, 409, m_bootId, errorBody("stale_fence"));
        return;
    }
    highest = std::max(highest, fence);
    Json answer = applyOrder(type, payload);
    answer["fence"] = highest;
    answer["step"] = m_nextStep;
    sendJson(*responder, 200, m_bootId, answer);
}

Json EngineRank::applyOrder(const std::string &type, const Json &payload)
{
    m_orders.push_back(type);
    if (type == "stage_map")
        return {{"staged", stageMap(payload.value("id", ""))}};
    if (type == "expert_map") {
        m_baseVersion = m_mapVersion = numberOr(payload, "version", m_mapVersion);
        m_fromStep = m_nextStep;
    }
    if (type == "step_gate") {
        m_stepLimit = numberOr(payload, "limit", 0);
        m_baseVersion = numberOr(payload, "base_version", m_baseVersion);
        m_mapVersion = numberOr(payload, "version", m_mapVersion);
        m_fromStep = numberOr(payload, "from_step", m_fromStep);
        m_gateRecord = payload.value("record", "");
    }
    return Json::object();
}

std::uint64_t EngineRank::versionAt(std::uint64_t step) const
{
    return step < m_fromStep ? m_baseVersion : m_mapVersion;
}

bool EngineRank::stageMap(const std::string &id)
{
    const TimePoint now = Clock::now();
    const auto staged = m_stagedAt.emplace(id, now + m_options.m_stageTime).first;
    return now >= staged->second;
}

void EngineRank::expertMap(const HttpRequest &, const Responder &responder)
{
    sendJson(*responder, 200, m_bootId,
             {{"step", m_nextStep},
              {"map_version", versionAt(m_nextStep)},
              {"step_limit", m_stepLimit},
              {"record", m_gateRecord}});
}

void EngineRank::stepLog(const HttpRequest &request, const Responder &responder)
{
    sendJson(*responder, 200, m_bootId, m_stepLog(afterOf(request)));
}

} // namespace burdockhead
