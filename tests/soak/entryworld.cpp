#include "entryworld.h"

#include <csignal>
#include <functional>
#include <stdexcept>
#include <thread>

namespace burdockhead::test {

namespace {

constexpr std::size_t clientCount = 8;
constexpr Milliseconds housekeeping{50};
constexpr Milliseconds judged{2000};
constexpr unsigned slowMilliseconds = 300;

DeploymentPlan planWith(unsigned endpoints)
{
    DeploymentPlan plan;
    plan.m_enginesPerDataCentre = endpoints;
    plan.m_servicesPerDataCentre = endpoints;
    plan.m_coldLimit = 2;
    plan.m_kindDeadlineMilliseconds = 3000;
    return plan;
}

} // namespace

EntryWorld::EntryWorld(std::uint64_t seed, unsigned endpoints)
    : m_seed(seed)
    , m_deployment(planWith(endpoints))
    , m_entries(m_deployment.names("entry-"))
    , m_agents(m_deployment.names("agent-"))
    , m_engines(m_deployment.names("engine-"))
    , m_services(m_deployment.names("service-"))
{
    if (!m_deployment.start())
        throw std::runtime_error("the deployment didn't start");
}

std::vector<FaultType> EntryWorld::faultTypes(bool restoresPlatform)
{
    std::vector<FaultType> types =
        test::faultTypes(FaultType::KillEndpointAgent, FaultType::LosePlatformAnswers);
    const auto atEndpoints = test::faultTypes(FaultType::TurnCold, FaultType::LoseServiceAnswer);
    types.insert(types.end(), atEndpoints.begin(), atEndpoints.end());
    types.push_back(FaultType::PauseEntry);
    if (restoresPlatform)
        types.push_back(FaultType::RestorePlatform);
    else
        types.insert(types.end(), {FaultType::KillEntry, FaultType::StopEntry});
    return types;
}

const std::string &EntryWorld::chosen(const std::vector<std::string> &names,
                                      const Fault &fault) const
{
    return names[fault.m_which % names.size()];
}

const std::string &EntryWorld::processOf(const Fault &fault) const
{
    const bool isOfEntry = fault.m_type == FaultType::KillEntry
                           || fault.m_type == FaultType::StopEntry
                           || fault.m_type == FaultType::PauseEntry;
    return chosen(isOfEntry ? m_entries : m_agents, fault);
}

bool EntryWorld::isUp(const std::string &name)
{
    return !m_down.contains(name) && !m_paused.contains(name) && m_deployment.child(name).running();
}

void EntryWorld::begin(const Fault &fault)
{
    const std::string &process = processOf(fault);
    switch (fault.m_type) {
    case FaultType::KillEntry:
    case FaultType::KillEndpointAgent:
        if (isUp(process)) {
            m_deployment.child(process).kill();
            m_down.insert(process);
            m_ordered.insert(process);
        }
        break;
    case FaultType::StopEntry:
    case FaultType::StopEndpointAgent:
        if (isUp(process)) {
            m_deployment.child(process).signal(SIGTERM);
            m_ordered.insert(process);
        }
        break;
    case FaultType::PauseEntry:
    case FaultType::PauseEndpointAgent:
        if (isUp(process)) {
            m_deployment.child(process).signal(SIGSTOP);
            m_paused.insert(process);
        }
        break;
    case FaultType::StopPlatform:
        m_deployment.post("platform", "/faults", {{"down", true}});
        break;
    case FaultType::LosePlatformAnswers:
        m_deployment.post("platform", "/faults", {{"lose_answer_next", 1 + fault.m_which % 3}});
        break;
    case FaultType::RestorePlatform:
        m_deployment.post("platform", "/faults", {{"take_copy", true}});
        break;
    case FaultType::TurnCold:
        m_deployment.post(chosen(m_engines, fault), "/faults", {{"cold", true}});
        break;
    case FaultType::SlowService:
        m_deployment.post(chosen(m_services, fault), "/faults", {{"slow_ms", slowMilliseconds}});
        break;
    default:
        m_deployment.post(chosen(m_services, fault), "/faults", {{"drop_answer_next", 1}});
        break;
    }
}

void EntryWorld::end(const Fault &fault)
{
    const std::string &process = processOf(fault);
    switch (fault.m_type) {
    case FaultType::KillEntry:
    case FaultType::KillEndpointAgent:
        m_down.erase(process);
        break;
    case FaultType::PauseEntry:
    case FaultType::PauseEndpointAgent:
        m_deployment.child(process).signal(SIGCONT);
        m_paused.erase(process);
        break;
    case FaultType::StopPlatform:
        m_deployment.post("platform", "/faults", {{"down", false}});
        break;
    case FaultType::RestorePlatform:
        m_deployment.post("platform", "/faults", {{"restore_copy", true}});
        break;
    case FaultType::SlowService:
        m_deployment.post(chosen(m_services, fault), "/faults", {{"slow_ms", 0}});
        break;
    default:
        break;
    }
}

void EntryWorld::keepRunning()
{
    for (const auto &names : {m_entries, m_agents}) {
        for (const std::string &name : names) {
            if (m_down.contains(name) || m_paused.contains(name)
                || m_deployment.child(name).running())
                continue;
            const int status = m_deployment.child(name).wait();
            const bool isOrdered = m_ordered.erase(name) > 0;
            if (!isOrdered || (status != 0 && status != -SIGKILL && status != -SIGTERM))
                m_violations.push_back(name + " ended with status " + std::to_string(status));
            m_deployment.restart(name);
        }
    }
}

std::map<std::string, std::uint64_t> EntryWorld::runs()
{
    std::map<std::string, std::uint64_t> runs;
    for (const std::string &service : m_services) {
        const nlohmann::json byKey = m_deployment.page(service, "/runs")["by_key"];
        for (const auto &[key, count] : byKey.items())
            runs[key] += count.get<std::uint64_t>();
    }
    return runs;
}

std::uint64_t EntryWorld::overloads()
{
    std::uint64_t overloads = 0;
    for (const std::string &engine : m_engines)
        overloads += m_deployment.page(engine, "/stats").value("overload_events", std::uint64_t(0));
    return overloads;
}

void EntryWorld::run(const std::vector<Fault> &faults, Milliseconds span, double leastServed)
{
    std::multimap<TimePoint, std::function<void()>> events;
    const TimePoint startedAt = Clock::now();
    for (const Fault &fault : faults) {
        events.emplace(startedAt + fault.m_at, [this, fault] { begin(fault); });
        events.emplace(startedAt + fault.m_at + fault.m_for, [this, fault] { end(fault); });
    }
    EntryClients clients(m_deployment, m_seed, clientCount);
    while (Clock::now() < startedAt + span) {
        while (!events.empty() && events.begin()->first <= Clock::now()) {
            events.begin()->second();
            events.erase(events.begin());
        }
        keepRunning();
        std::this_thread::sleep_for(housekeeping);
    }
    clients.stop();
    for (const std::string &violation : clients.violations(runs()))
        m_violations.push_back(violation);
    if (overloads() > 0)
        m_violations.push_back("requests beyond what a cold engine carries: "
                               + std::to_string(overloads()));
    m_requests = clients.requests();
    m_servedAtEnd = clients.servedSince(startedAt + span - judged);
    if (m_servedAtEnd < leastServed)
        m_violations.push_back("after the last fault only " + std::to_string(m_servedAtEnd)
                               + " of the requests were served");
    if (!m_violations.empty())
        m_deployment.keepFolder();
}

} // namespace burdockhead::test
