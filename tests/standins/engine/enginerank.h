#pragma once

#include "generation.h"
#include "prefixcache.h"
#include "standinsupport.h"
#include <burdockhead/base/timepoint.h>

#include <deque>
#include <list>
#include <map>
#include <mutex>

namespace burdockhead {

// How a rank of the stand-in starts.
struct RankOptions
{
    std::uint16_t m_port = 0;
    std::uint64_t m_bootId = 1;
    std::uint64_t m_carryCold = 1; // Requests that it carries while cold.
    std::uint64_t m_carryWarm = 8; // Requests that it carries while warm.
    std::uint64_t m_warmAfter = 8; // Completions after which it is warm.
    std::uint64_t m_prefixCapacity = 64;
    Milliseconds m_loadLag{50};
    Milliseconds m_eventLag{200};
    Milliseconds m_stageTime{20}; // To load a map's experts.
    Milliseconds m_downTime{500}; // How long it is down after falling over.
    bool m_cold = false;
    bool m_fallsOver = true;     // Goes down when it gets more than it carries.
    bool m_checksFencing = true; // Refuses orders with an old fencing number.
};

// One rank of the stand-in engine behind its own port.
//
// POST /v1/chat/completions {messages, stream, max_tokens, resume_from}: streams
//     `data: {"index":i,"choices":[{"delta":{"content":"w17 "}}]}` a token and
//     `data: [DONE]`, or answers with choices[0].message.content. A stream that ends
//     without [DONE] is not whole. Every answer has the header X-Boot-Id.
// GET /load {running, boot_id, cold, report_age}: as it was before the lag; age in ms.
// GET /stats: counters. POST /mark: sets the counters "since mark" to 0.
// POST /faults: {"cold":true}, {"stall_ms":n}, {"fail_next":n,"fail_after_tokens":k},
//     {"slow_factor":f}, {"cross":b}, {"cache_gap":b}, {"down":b}, {"ignore_fence":b},
//     {"falls_over":b}; {"keeps_unbegun":b}: requests without a token yet outlast a turn to
//     cold, as if they had been read from their connections but not begun.
// GET /cache-events?after=N: {"events":[{sequence, type, prefix_hash}]}.
// POST /orders {fence, type, payload}: 409 for an old fencing number. Types "load_model",
//     "load_adapter" and others are recorded. "expert_map" {version}: in force from the
//     next step. "stage_map" {id}: answers {"staged":b}, true once its experts are loaded.
//     "step_gate" {limit, base_version, version, from_step, record}: no step from the limit
//     on is begun, 0 is none; steps before from_step use base_version, others version; the
//     record is kept as it is; its fencing number must be above the last one. Fencing
//     numbers count for each type by itself.
// GET /expert-map {step, map_version, step_limit, record}; the step is the next one to be
//     begun.
// GET /step-log?after=N: {"steps":[{"step":s,"versions":[a version a rank]}]}.
class EngineRank
{
public:
    explicit EngineRank(const RankOptions &options);

    // Answers a call; completions are answered by later steps.
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

    // Begins the step if nothing holds the rank; true once it has begun it.
    bool tryBegin(std::uint64_t step, TimePoint now);

    // Does the rank's part of the step that it has begun.
    void runStep(TimePoint now);

    // The map's version that this rank uses in the step that it has begun.
    std::uint64_t stepVersion() const;

    // The longest step of this rank, as a multiple of the usual one.
    double slowFactor() const;

    // Answers a step log with what the group recorded.
    using StepLog = std::function<Json(std::uint64_t after)>;
    void setStepLog(StepLog log) { m_stepLog = std::move(log); }

private:
    using Responder = std::shared_ptr<HttpResponder>;
    using Handler = void (EngineRank::*)(const HttpRequest &, const Responder &);
    struct Route
    {
        const char *m_method;
        const char *m_path;
        bool m_answersWhileDown;
        Handler m_handler;
    };
    struct Counters
    {
        std::uint64_t m_started = 0;
        std::uint64_t m_completed = 0;
        std::uint64_t m_cancelled = 0;
        std::uint64_t m_broken = 0;
        std::uint64_t m_overloadEvents = 0;
        std::uint64_t m_maxRunning = 0;
        std::uint64_t m_maxRunningWhileCold = 0;
        std::uint64_t m_prefixHits = 0;
    };
    struct LoadSnapshot
    {
        TimePoint m_taken;
        std::uint64_t m_running = 0;
        std::uint64_t m_bootId = 0;
        bool m_cold = false;
    };

    static const std::vector<Route> &routes();
    void completions(const HttpRequest &request, const Responder &responder);
    void load(const HttpRequest &request, const Responder &responder);
    void stats(const HttpRequest &request, const Responder &responder);
    void mark(const HttpRequest &request, const Responder &responder);
    void faults(const HttpRequest &request, const Responder &responder);
    void cacheEvents(const HttpRequest &request, const Responder &responder);
    void orders(const HttpRequest &request, const Responder &responder);
    void expertMap(const HttpRequest &request, const Responder &responder);
    void stepLog(const HttpRequest &request, const Responder &responder);

    bool isDown(TimePoint now) const { return m_down || now < m_downUntil; }
    std::uint64_t carry() const { return m_cold ? m_options.m_carryCold : m_options.m_carryWarm; }
    void admit(Generation generation);
    void countRunning();
    void turnCold();
    void fallOver(TimePoint now);
    void advance(std::list<Generation>::iterator &position);
    void noteCompletion();
    void noteLoad(TimePoint now);
    Json applyOrder(const std::string &type, const Json &payload);
    std::uint64_t versionAt(std::uint64_t step) const;
    bool stageMap(const std::string &id);

    RankOptions m_options;
    StepLog m_stepLog;
    mutable std::mutex m_mutex;
    std::list<Generation> m_running;
    std::deque<LoadSnapshot> m_load;
    PrefixCache m_cache;
    Counters m_counters;
    std::uint64_t m_startedSinceMark = 0;
    std::uint64_t m_bootId;
    bool m_cold;
    std::uint64_t m_completedSinceCold = 0;
    std::map<std::string, std::uint64_t> m_callsByPath;
    std::map<std::string, std::uint64_t> m_fences; // By type of order.
    std::vector<std::string> m_orders;
    std::uint64_t m_nextStep = 0;
    std::uint64_t m_stepLimit = 0; // 0 is none.
    std::uint64_t m_baseVersion = 0;
    std::uint64_t m_mapVersion = 0;
    std::uint64_t m_fromStep = 0; // The first step that uses the map's version.
    std::uint64_t m_stepVersion = 0;
    std::string m_gateRecord;
    std::map<std::string, TimePoint> m_stagedAt;
    bool m_down = false;
    TimePoint m_downUntil;
    TimePoint m_stalledUntil;
    std::uint64_t m_failNext = 0;
    std::int64_t m_failAfterTokens = 0;
    double m_slowFactor = 1;
    bool m_cross = false;
    bool m_keepsUnbegun = false;
};

} // namespace burdockhead
