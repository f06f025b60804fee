// How long a small deployment of real processes takes to return to full service by itself
// after each kind of fault, and what callers saw meanwhile.

#include <algorithm>
#include <callerload.h>
#include <csignal>
#include <cstdio>
#include <waiting.h>

using namespace burdockhead;

namespace {

constexpr unsigned runs = 6;
constexpr unsigned callers = 6;
constexpr unsigned tokens = 60;

std::uint64_t completedAt(Deployment &deployment, const std::string &engine)
{
    return deployment.page(engine, "/stats").value("completed", std::uint64_t(0));
}

// Waits until the engine has completed a request that it got after the call.
void awaitWork(Deployment &deployment, const std::string &engine)
{
    static int number = 0;
    const std::uint64_t before = completedAt(deployment, engine);
    waitUntil([&] {
        deployment.chat("entry-dc-c-0", "fresh request " + std::to_string(++number), 5);
        return completedAt(deployment, engine) > before;
    });
}

void restartEngine(Deployment &deployment)
{
    deployment.child("engine-dc-a-0").kill();
    std::this_thread::sleep_for(Seconds(1));
    deployment.restart("engine-dc-a-0");
}

void restartAgent(Deployment &deployment)
{
    deployment.child("agent-engine-dc-a-0").kill();
    std::this_thread::sleep_for(Seconds(1));
    deployment.restart("agent-engine-dc-a-0");
}

void pauseAgent(Deployment &deployment)
{
    deployment.child("agent-engine-dc-a-0").signal(SIGSTOP);
    std::this_thread::sleep_for(Seconds(3));
    deployment.child("agent-engine-dc-a-0").signal(SIGCONT);
}

void turnCold(Deployment &deployment)
{
    deployment.post("engine-dc-a-0", "/faults", {{"cold", true}});
}

void restartEntry(Deployment &deployment)
{
    deployment.child("entry-dc-b-0").kill();
    std::this_thread::sleep_for(Seconds(1));
    deployment.restart("entry-dc-b-0");
}

void stopPlatform(Deployment &deployment)
{
    deployment.post("platform", "/faults", {{"down", true}});
    std::this_thread::sleep_for(Seconds(5));
    deployment.post("platform", "/faults", {{"down", false}});
}

void engineServes(Deployment &deployment)
{
    awaitWork(deployment, "engine-dc-a-0");
}

void entryServes(Deployment &deployment)
{
    waitUntil([&] {
        const auto answer = deployment.chat("entry-dc-b-0", "after the restart", 5);
        return answer && streamedTokens(answer->m_body).size() == 5;
    });
}

void changeIsAccepted(Deployment &deployment)
{
    waitUntil([&] { return deployment.setTakenOut("entry-dc-c-0", "dc-b", false); });
}

// A fault that has ended when m_cause returns, and what shows that service is whole again.
struct Fault
{
    const char *m_name;
    void (*m_cause)(Deployment &);
    void (*m_awaitRecovery)(Deployment &);
};

constexpr Fault faults[] = {
    {"engine killed, back after 1 s: it completes work", restartEngine, engineServes},
    {"engine turns cold: it completes work", turnCold, engineServes},
    {"agent killed, back after 1 s: its engine completes work", restartAgent, engineServes},
    {"agent paused for 3 s: its engine completes work", pauseAgent, engineServes},
    {"entry killed, back after 1 s: it serves", restartEntry, entryServes},
    {"platform out for 5 s: a change is accepted", stopPlatform, changeIsAccepted},
};

void measure(const Fault &fault)
{
    std::vector<double> seconds;
    LoadTally total;
    std::uint64_t errors = 0;
    for (unsigned run = 0; run < runs; ++run) {
        DeploymentPlan plan;
        plan.m_coldLimit = 4;
        plan.m_warmLimit = 16;
        Deployment deployment(plan);
        if (!deployment.start())
            continue;
        CallerLoad load(deployment, {"entry-dc-a-0", "entry-dc-c-0"}, callers, tokens);
        waitUntil([&] { return load.whole() >= callers; });
        fault.m_cause(deployment);
        const TimePoint ended = Clock::now();
        fault.m_awaitRecovery(deployment);
        seconds.push_back(std::chrono::duration<double>(Clock::now() - ended).count());
        const LoadTally tally = load.stop();
        total.m_whole += tally.m_whole;
        total.m_broken += tally.m_broken + tally.m_wrong;
        for (const auto &[kind, count] : tally.m_errors)
            errors += count;
    }
    std::sort(seconds.begin(), seconds.end());
    if (seconds.empty())
        return;
    std::printf("| %s | %.2f (%.2f-%.2f) | %llu | %llu | %llu |\n", fault.m_name,
                seconds[seconds.size() / 2], seconds.front(), seconds.back(),
                static_cast<unsigned long long>(total.m_whole),
                static_cast<unsigned long long>(errors),
                static_cast<unsigned long long>(total.m_broken));
}

} // namespace

int main()
{
    std::printf("| fault, and what shows the recovery | seconds after the fault's end, median of "
                "%u (lowest-highest) | answers whole | refused or failed | broken or wrong |\n"
                "|---|---|---|---|---|\n",
                runs);
    for (const Fault &fault : faults)
        measure(fault);
    return 0;
}
