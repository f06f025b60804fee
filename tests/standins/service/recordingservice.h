#pragma once

#include "standinsupport.h"
#include <burdockhead/base/timepoint.h>

#include <map>
#include <mutex>

namespace burdockhead {

// A plain service that runs each call once and records it.
//
// POST|GET /ANY: runs, and answers {"run":n,"path":p,"body_hash":h,"key":k}.
// GET /runs: {"runs":[{run, path, method, body_hash, key}], "by_key":{}, "by_body":{}}.
// GET /load {running, boot_id, cold, report_age}; GET /stats; POST /mark.
// POST /faults: {"slow_ms":n} before each answer; {"drop_answer_next":n} runs the call and
//     answers garbage; {"fail_next":n} answers 500 without running; {"down":b};
//     {"cold":true} new boot id, open connections break.
// Every answer has the header X-Boot-Id.
class RecordingService
{
public:
    // Serves on that port, starting with that boot id.
    RecordingService(std::uint16_t port, std::uint64_t bootId, std::uint64_t carryCold,
                     std::uint64_t carryWarm, bool cold);

    // Answers a call; a slow one blocks the calling thread.
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);

private:
    using Responder = std::shared_ptr<HttpResponder>;
    using Handler = void (RecordingService::*)(const HttpRequest &, const Responder &);
    struct Route
    {
        const char *m_method;
        const char *m_path;
        Handler m_handler;
    };
    struct Run
    {
        std::string m_method;
        std::string m_path;
        std::string m_bodyHash;
        std::string m_key;
    };

    static const std::vector<Route> &routes();
    void runs(const HttpRequest &request, const Responder &responder);
    void load(const HttpRequest &request, const Responder &responder);
    void stats(const HttpRequest &request, const Responder &responder);
    void mark(const HttpRequest &request, const Responder &responder);
    void faults(const HttpRequest &request, const Responder &responder);
    void run(const HttpRequest &request, const Responder &responder);
    bool begin();
    Json record(const HttpRequest &request);
    void end(const Json &answer, const Responder &responder);
    static Json runJson(std::size_t index, const Run &run);

    std::uint16_t m_port;
    std::uint64_t m_carryCold;
    std::uint64_t m_carryWarm;
    std::mutex m_mutex;
    std::uint64_t m_bootId;
    bool m_cold;
    bool m_down = false;
    std::uint64_t m_slowMilliseconds = 0;
    std::uint64_t m_dropAnswerNext = 0;
    std::uint64_t m_failNext = 0;
    std::uint64_t m_running = 0;
    std::uint64_t m_maxRunning = 0;
    std::uint64_t m_maxRunningWhileCold = 0;
    std::uint64_t m_overloadEvents = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_completedSinceCold = 0;
    std::uint64_t m_startedSinceMark = 0;
    std::vector<Run> m_runs;
};

} // namespace burdockhead
