#include "recordingservice.h"

#include <algorithm>
#include <thread>
#include <xxhash.h>

namespace burdockhead {

namespace {

constexpr std::uint64_t warmAfterCompletions = 8;

std::uint64_t numberOr(const Json &body, const char *key, std::uint64_t fallback)
{
    const auto item = body.find(key);
    return item != body.end() && item->is_number_unsigned() ? item->get<std::uint64_t>() : fallback;
}

} // namespace

RecordingService::RecordingService(std::uint16_t port, std::uint64_t bootId,
                                   std::uint64_t carryCold, std::uint64_t carryWarm, bool cold)
    : m_port(port)
    , m_carryCold(carryCold)
    , m_carryWarm(carryWarm)
    , m_bootId(bootId)
    , m_cold(cold)
{}

const std::vector<RecordingService::Route> &RecordingService::routes()
{
    static const std::vector<Route> table = {
        {"GET", "/runs", &RecordingService::runs},      {"GET", "/load", &RecordingService::load},
        {"GET", "/stats", &RecordingService::stats},    {"POST", "/mark", &RecordingService::mark},
        {"POST", "/faults", &RecordingService::faults},
    };
    return table;
}

void RecordingService::handle(const HttpRequest &request, const Responder &responder)
{
    for (const Route &route : routes()) {
        if (request.m_method == route.m_method && request.m_path == route.m_path) {
            const std::lock_guard lock(m_mutex);
            (this->*route.m_handler)(request, responder);
            return;
        }
    }
    run(request, responder);
}

void RecordingService::run(const HttpRequest &request, const Responder &responder)
{
    Json answer;
    std::uint64_t slow = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            dropConnections(m_port);
            return;
        }
        if (m_failNext > 0) {
            --m_failNext;
            sendJson(*responder, 500, m_bootId, {{"error", {{"kind", "failed_before_running"}}}});
            return;
        }
        answer = record(request);
        slow = m_slowMilliseconds;
    }
    std::this_thread::sleep_for(Milliseconds(slow));
    const std::lock_guard lock(m_mutex);
    end(answer, responder);
}

Json RecordingService::record(const HttpRequest &request)
{
    ++m_startedSinceMark;
    ++m_running;
    m_maxRunning = std::max(m_maxRunning, m_running);
    if (m_cold)
        m_maxRunningWhileCold = std::max(m_maxRunningWhileCold, m_running);
    if (m_running > (m_cold ? m_carryCold : m_carryWarm))
        ++m_overloadEvents;
    const auto hash = XXH3_64bits(request.m_body.data(), request.m_body.size());
    m_runs.push_back({request.m_method, request.m_path, hashText(hash),
                      request.header("Idempotency-Key").value_or("")});
    return runJson(m_runs.size(), m_runs.back());
}

void RecordingService::end(const Json &answer, const Responder &responder)
{
    --m_running;
    ++m_completed;
    if (m_cold && ++m_completedSinceCold >= warmAfterCompletions)
        m_cold = false;
    if (m_dropAnswerNext > 0) {
        --m_dropAnswerNext;
        sendGarbage(*responder);
        return;
    }
    sendJson(*responder, 200, m_bootId, answer);
}

Json RecordingService::runJson(std::size_t index, const Run &run)
{
    return {{"run", index},
            {"method", run.m_method},
            {"path", run.m_path},
            {"body_hash", run.m_bodyHash},
            {"key", run.m_key}};
}

void RecordingService::runs(const HttpRequest &, const Responder &responder)
{
    Json list = Json::array();
    std::map<std::string, std::uint64_t> byKey;
    std::map<std::string, std::uint64_t> byBody;
    for (std::size_t index = 0; index < m_runs.size(); ++index) {
        const Run &run = m_runs[index];
        list.push_back(runJson(index + 1, run));
        ++byBody[run.m_bodyHash];
        if (!run.m_key.empty())
            ++byKey[run.m_key];
    }
    sendJson(*responder, 200, m_bootId, {{"runs", list}, {"by_key", byKey}, {"by_body", byBody}});
}

void RecordingService::load(const HttpRequest &, const Responder &responder)
{
    if (m_down) {
        dropConnections(m_port);
        return;
    }
    sendJson(*responder, 200, m_bootId,
             {{"running", m_running}, {"boot_id", m_bootId}, {"cold", m_cold}, {"report_age", 0}});
}

void RecordingService::stats(const HttpRequest &, const Responder &responder)
{
    sendJson(*responder, 200, m_bootId,
             {{"boot_id", m_bootId},
              {"cold", m_cold},
              {"running", m_running},
              {"max_running", m_maxRunning},
              {"max_running_while_cold", m_maxRunningWhileCold},
              {"overload_events", m_overloadEvents},
              {"started", m_runs.size()},
              {"completed", m_completed},
              {"work_after_mark", m_startedSinceMark}});
}

void RecordingService::mark(const HttpRequest &, const Responder &responder)
{
    m_startedSinceMark = 0;
    m_maxRunning = m_running;
    m_maxRunningWhileCold = m_cold ? m_running : 0;
    sendJson(*responder, 200, m_bootId, {{"marked", true}});
}

void RecordingService::faults(const HttpRequest &request, const Responder &responder)
{
    const auto body = readJson(request);
    if (!body) {
        sendJson(*responder, 400, m_bootId, {{"error", {{"kind", "malformed_request"}}}});
        return;
    }
    m_slowMilliseconds = numberOr(*body, "slow_ms", m_slowMilliseconds);
    m_dropAnswerNext = numberOr(*body, "drop_answer_next", m_dropAnswerNext);
    m_failNext = numberOr(*body, "fail_next", m_failNext);
    if (body->contains("down"))
        m_down = (*body)["down"] == true;
    sendJson(*responder, 200, m_bootId, {{"ok", true}});
    if (!body->contains("cold") || (*body)["cold"] != true)
        return;
    ++m_bootId;
    m_cold = true;
    m_completedSinceCold = 0;
    dropConnections(m_port);
}

} // namespace burdockhead
