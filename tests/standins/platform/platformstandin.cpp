#include "platformstandin.h"

#include <burdockhead/platform/platformtext.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <thread>

namespace burdockhead {

namespace {

using Json = nlohmann::json;
using Responder = std::shared_ptr<HttpResponder>;

constexpr std::size_t largestValue = 1 << 20;
constexpr Milliseconds timerStep(5);

// A response that waits: for its time, or for a newer version of an object.
struct Waiting
{
    Responder m_responder;
    HttpResponse m_response;
    TimePoint m_due;
    std::string m_watchedPath; // Empty for a response that is only slow.
    std::uint64_t m_after = 0;
};

struct StoredObject
{
    std::uint64_t m_version = 0;
    std::string m_value;
};

struct Faults
{
    bool m_down = false;
    Milliseconds m_slow{0};
    std::uint64_t m_loseAnswers = 0;
    Milliseconds m_vmLag{0};
};

using Objects = std::map<std::string, StoredObject>;

std::uint64_t numberOr(const std::optional<std::string> &text, std::uint64_t fallback)
{
    std::uint64_t number = fallback;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace

struct PlatformStandIn::Private
{
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Objects m_objects;
    Objects m_copy;
    std::uint64_t m_era = 1;
    std::list<Waiting> m_waiting;
    std::vector<Responder> m_lost;
    std::vector<std::pair<TimePoint, std::vector<Vm>>> m_vmLists;
    std::map<std::string, std::uint64_t> m_calls;
    Faults m_faults;
    bool m_stopping = false;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_timer;

    void handle(const HttpRequest &request, const Responder &responder);
    HttpResponse control(const HttpRequest &request);
    void setFaults(const Json &json);
    void restoreCopy();
    HttpResponse get(const std::string &path);
    void put(const HttpRequest &request, const Responder &responder);
    void watch(const HttpRequest &request, const Responder &responder);
    std::vector<Vm> listedVms() const;
    void answer(const Responder &responder, HttpResponse response);
    void respond(HttpResponder &responder, HttpResponse response) const;
    void runTimer();
    std::vector<Waiting> takeDue();
};

std::vector<Vm> PlatformStandIn::Private::listedVms() const
{
    std::vector<Vm> listed;
    const TimePoint shownUntil = Clock::now() - m_faults.m_vmLag;
    for (const auto &[time, vms] : m_vmLists) {
        if (time <= shownUntil)
            listed = vms;
    }
    return listed;
}

void PlatformStandIn::Private::setFaults(const Json &json)
{
    m_faults.m_down = json.value("down", m_faults.m_down);
    m_faults.m_slow = Milliseconds(json.value("slow_ms", m_faults.m_slow.count()));
    m_faults.m_loseAnswers = json.value("lose_answer_next", m_faults.m_loseAnswers);
    m_faults.m_vmLag = Milliseconds(json.value("vm_lag_ms", m_faults.m_vmLag.count()));
}

// Comes back from the copy in the next era; versions are given out again. Watches are cut.
void PlatformStandIn::Private::restoreCopy()
{
    ++m_era;
    m_objects = m_copy;
    for (Waiting &waiting : m_waiting) {
        if (waiting.m_watchedPath.empty())
            continue;
        waiting.m_response = jsonResponse(503, "{}");
        waiting.m_due = Clock::now();
    }
    m_changed.notify_all();
}

// Test control, which no fault touches.
HttpResponse PlatformStandIn::Private::control(const HttpRequest &request)
{
    if (request.m_path == "/stats")
        return jsonResponse(200, Json(m_calls).dump());
    if (request.m_path == "/faults") {
        const Json json = Json::parse(request.m_body, nullptr, false);
        if (json.is_discarded())
            return jsonResponse(400, "{}");
        setFaults(json);
        if (json.value("take_copy", false))
            m_copy = m_objects;
        if (json.value("restore_copy", false))
            restoreCopy();
        return jsonResponse(200, "{}");
    }
    auto vms = readVmsJson(request.m_body);
    if (!vms)
        return jsonResponse(400, "{}");
    m_vmLists.emplace_back(Clock::now(), std::move(*vms));
    return jsonResponse(200, "{}");
}

HttpResponse PlatformStandIn::Private::get(const std::string &path)
{
    const auto object = m_objects.find(path);
    if (object == m_objects.end())
        return jsonResponse(404, "{}");
    return jsonResponse(200, writeObjectJson(object->second.m_version, object->second.m_value));
}

void PlatformStandIn::Private::put(const HttpRequest &request, const Responder &responder)
{
    if (request.m_body.size() > largestValue) {
        answer(responder, jsonResponse(413, "{}"));
        return;
    }
    const auto object = m_objects.find(request.m_path);
    const std::uint64_t current = object == m_objects.end() ? 0 : object->second.m_version;
    if (numberOr(request.header("If-Match"), current + 1) != current) {
        answer(responder, jsonResponse(412, "{}"));
        return;
    }
    m_objects[request.m_path] = {current + 1, request.m_body};
    m_changed.notify_all();
    if (m_faults.m_loseAnswers > 0) {
        --m_faults.m_loseAnswers;
        m_lost.push_back(responder);
        return;
    }
    answer(responder, jsonResponse(200, writeVersionJson(current + 1)));
}

void PlatformStandIn::Private::watch(const HttpRequest &request, const Responder &responder)
{
    const Milliseconds wait(numberOr(request.queryValue("wait_ms"), 0));
    const std::uint64_t after = numberOr(request.queryValue("after"), 0);
    m_waiting.push_back({responder, {204, {}, ""}, Clock::now() + wait, request.m_path, after});
    m_changed.notify_all();
}

void PlatformStandIn::Private::answer(const Responder &responder, HttpResponse response)
{
    if (m_faults.m_slow.count() == 0) {
        respond(*responder, std::move(response));
        return;
    }
    m_waiting.push_back({responder, std::move(response), Clock::now() + m_faults.m_slow, "", 0});
    m_changed.notify_all();
}

// Every response names the era.
void PlatformStandIn::Private::respond(HttpResponder &responder, HttpResponse response) const
{
    response.m_headers.push_back({"Platform-Era", std::to_string(m_era)});
    responder.respond(std::move(response));
}

void PlatformStandIn::Private::handle(const HttpRequest &request, const Responder &responder)
{
    const std::lock_guard lock(m_mutex);
    const bool isRead = request.m_method == "GET";
    if (request.m_path == "/stats" || request.m_path == "/faults"
        || (request.m_path == "/vms" && !isRead)) {
        respond(*responder, control(request));
        return;
    }
    const bool isWatch = isRead && request.queryValue("watch").has_value();
    const bool isList = request.m_path == "/vms";
    ++m_calls[isList ? "list" : isWatch ? "watch" : isRead ? "read" : "write"];
    if (m_faults.m_down)
        answer(responder, jsonResponse(503, "{}"));
    else if (isList)
        answer(responder, jsonResponse(200, writeVmsJson(listedVms())));
    else if (!request.m_path.starts_with("/objects/"))
        answer(responder, jsonResponse(404, "{}"));
    else if (isWatch)
        watch(request, responder);
    else if (isRead)
        answer(responder, get(request.m_path));
    else
        put(request, responder);
}

// Takes what is to be answered now: slow responses whose time has come and watches whose
// object is newer or whose time is over.
std::vector<Waiting> PlatformStandIn::Private::takeDue()
{
    std::vector<Waiting> due;
    const TimePoint now = Clock::now();
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto object = m_objects.find(waiting->m_watchedPath);
        const bool newer = object != m_objects.end() && object->second.m_version > waiting->m_after;
        if (newer)
            waiting->m_response = get(waiting->m_watchedPath);
        if (m_faults.m_down && !waiting->m_watchedPath.empty())
            waiting->m_response = jsonResponse(503, "{}");
        const bool isDue = newer || now >= waiting->m_due || m_faults.m_down;
        if (!isDue) {
            ++waiting;
            continue;
        }
        due.push_back(std::move(*waiting));
        waiting = m_waiting.erase(waiting);
    }
    return due;
}

void PlatformStandIn::Private::runTimer()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        std::vector<Waiting> due = takeDue();
        for (Waiting &waiting : due)
            waiting.m_response.m_headers.push_back({"Platform-Era", std::to_string(m_era)});
        lock.unlock();
        for (Waiting &waiting : due)
            waiting.m_responder->respond(std::move(waiting.m_response));
        lock.lock();
        if (m_stopping)
            break;
        if (m_waiting.empty())
            m_changed.wait_for(lock, Seconds(1));
        else
            m_changed.wait_for(lock, timerStep);
    }
}

PlatformStandIn::PlatformStandIn(const SocketAddress &listen)
    : m_d(std::make_unique<Private>())
{
    HttpServerOptions options;
    options.m_listen = listen;
    options.m_maxBodyBytes = 4 * largestValue;
    options.m_maxConnections = 20000;
    m_d->m_server = std::make_unique<HttpServer>(
        options, [this](const HttpRequest &request, const Responder &responder) {
            m_d->handle(request, responder);
        });
}

PlatformStandIn::~PlatformStandIn()
{
    {
        const std::lock_guard lock(m_d->m_mutex);
        m_d->m_stopping = true;
    }
    m_d->m_changed.notify_all();
    if (m_d->m_timer.joinable())
        m_d->m_timer.join();
    m_d->m_server->stop();
    // Open responses refer to the server's connections, so they go first.
    m_d->m_waiting.clear();
    m_d->m_lost.clear();
}

bool PlatformStandIn::start()
{
    if (!m_d->m_server->start())
        return false;
    m_d->m_timer = std::thread([this] { m_d->runTimer(); });
    return true;
}

void PlatformStandIn::setDown(bool down)
{
    const std::lock_guard lock(m_d->m_mutex);
    m_d->m_faults.m_down = down;
    m_d->m_changed.notify_all();
}

} // namespace burdockhead
