// What the path through entry and agent costs against a direct call to the endpoint: time
// to the first chunk, time to the whole answer, and processor time a request and a chunk.
// Real processes on loopback; both ways alternate within each run.

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <deployment.h>
#include <mutex>
#include <thread>

using namespace burdockhead;

namespace {

constexpr unsigned runs = 5;
constexpr unsigned requestsPerRun = 40;
constexpr unsigned tokens = 100;
constexpr unsigned longTokens = 1100;
constexpr double microsecondsPerSecond = 1e6;
constexpr Seconds idleTime{5};
constexpr double bytesPerMegabyte = 1e6;

// What one way gave in one run, in microseconds, all as medians over its requests.
struct WayFigures
{
    double m_firstChunk = 0;
    double m_whole = 0;
};

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

std::string chatBody(unsigned count)
{
    return nlohmann::json{{"model", "shelf-8b"},
                          {"messages", nlohmann::json::array({"the same prompt"})},
                          {"stream", true},
                          {"max_tokens", count}}
        .dump();
}

// Makes one call and waits for its end; the time to the first data and to the end.
WayFigures timedCall(HttpClient &http, const SocketAddress &address, unsigned count)
{
    HttpClientCall call;
    call.m_method = "POST";
    call.m_url = "http://" + address.toString() + "/v1/chat/completions";
    call.m_headers = {{"Burdockhead-Workspace", "library"}, {"Burdockhead-Kind", "digest"}};
    call.m_body = chatBody(count);
    call.m_deadline = Clock::now() + Seconds(60);
    std::mutex mutex;
    std::condition_variable wake;
    bool done = false;
    const TimePoint start = Clock::now();
    TimePoint first;
    HttpCallHandlers handlers;
    handlers.m_onData = [&](std::string_view) {
        if (first == TimePoint())
            first = Clock::now();
    };
    handlers.m_onDone = [&](const HttpOutcome &) {
        const std::lock_guard lock(mutex);
        done = true;
        wake.notify_one();
    };
    http.start(call, std::move(handlers));
    std::unique_lock lock(mutex);
    wake.wait(lock, [&] { return done; });
    const auto micros = [&](TimePoint end) {
        return std::chrono::duration<double, std::micro>(end - start).count();
    };
    return {micros(first), micros(Clock::now())};
}

double processorSeconds(Deployment &deployment, const std::string &name)
{
    return deployment.metric(name, "process_cpu_seconds_total");
}

struct Spread
{
    double m_median = 0;
    double m_low = 0;
    double m_high = 0;
};

Spread spreadOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return {values[values.size() / 2], values.front(), values.back()};
}

void printRow(const char *name, const Spread &direct, const Spread &through)
{
    std::printf("| %s | %.0f (%.0f-%.0f) | %.0f (%.0f-%.0f) | %.2f | %.0f |\n", name,
                direct.m_median, direct.m_low, direct.m_high, through.m_median, through.m_low,
                through.m_high, through.m_median / direct.m_median,
                through.m_median - direct.m_median);
}

// Processor time of one request of each length, in microseconds.
struct ProcessorUse
{
    double m_short = 0;
    double m_long = 0;
};

// Processor seconds a second that the process uses without requests.
double idleUse(Deployment &deployment, const std::string &name)
{
    const double before = processorSeconds(deployment, name);
    std::this_thread::sleep_for(idleTime);
    return (processorSeconds(deployment, name) - before)
           / std::chrono::duration<double>(idleTime).count();
}

// What the process uses without requests is taken off.
ProcessorUse processorUse(Deployment &deployment, const std::string &name,
                          const SocketAddress &entry, double idle)
{
    const auto cost = [&](unsigned count) {
        const double before = processorSeconds(deployment, name);
        const TimePoint start = Clock::now();
        for (unsigned request = 0; request < requestsPerRun; ++request)
            timedCall(deployment.http(), entry, count);
        const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
        return (processorSeconds(deployment, name) - before - idle * elapsed) / requestsPerRun
               * microsecondsPerSecond;
    };
    return {cost(tokens), cost(longTokens)};
}

} // namespace

int main()
{
    DeploymentPlan plan;
    plan.m_dataCentres = {"dc-a"};
    plan.m_tokenMicroseconds = 500;
    Deployment deployment(plan);
    if (!deployment.start()) {
        std::fprintf(stderr, "the deployment did not start\n");
        return 1;
    }
    const SocketAddress entry = deployment.process("entry-dc-a-0").m_main;
    const SocketAddress engine = deployment.process("engine-dc-a-0").m_main;
    for (unsigned warmUp = 0; warmUp < requestsPerRun; ++warmUp)
        timedCall(deployment.http(), entry, tokens);
    std::vector<double> directFirst;
    std::vector<double> directWhole;
    std::vector<double> throughFirst;
    std::vector<double> throughWhole;
    for (unsigned run = 0; run < runs; ++run) {
        std::vector<double> samples[4];
        for (unsigned request = 0; request < requestsPerRun; ++request) {
            const WayFigures direct = timedCall(deployment.http(), engine, tokens);
            const WayFigures through = timedCall(deployment.http(), entry, tokens);
            samples[0].push_back(direct.m_firstChunk);
            samples[1].push_back(direct.m_whole);
            samples[2].push_back(through.m_firstChunk);
            samples[3].push_back(through.m_whole);
        }
        directFirst.push_back(median(samples[0]));
        directWhole.push_back(median(samples[1]));
        throughFirst.push_back(median(samples[2]));
        throughWhole.push_back(median(samples[3]));
    }
    std::printf("| microseconds, median of %u runs (lowest-highest) | direct | through entry and "
                "agent | ratio | added |\n|---|---|---|---|---|\n",
                runs);
    printRow("time to first chunk", spreadOf(directFirst), spreadOf(throughFirst));
    printRow("time to whole answer, 100 chunks of 0.5 ms", spreadOf(directWhole),
             spreadOf(throughWhole));
    std::printf(
        "\n| process | idle, %% of a core | microseconds a request of %u chunks | of %u chunks "
        "| resident memory, MB |\n|---|---|---|---|---|\n",
        tokens, longTokens);
    for (const char *name : {"entry-dc-a-0", "agent-engine-dc-a-0"}) {
        const double idle = idleUse(deployment, name);
        const ProcessorUse use = processorUse(deployment, name, entry, idle);
        std::printf("| %s | %.2f | %.0f | %.0f | %.1f |\n", name, 100 * idle, use.m_short,
                    use.m_long,
                    deployment.metric(name, "process_resident_memory_bytes") / bytesPerMegabyte);
    }
    return 0;
}
