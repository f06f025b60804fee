#include "deployment.h"

#include <cstdlib>
#include <filesystem>
#include <freeport.h>
#include <fstream>
#include <sstream>
#include <thread>

namespace burdockhead {

namespace {

using Json = nlohmann::json;

constexpr Seconds callLimit{20};
constexpr Seconds startLimit{30};
constexpr Milliseconds pollInterval{50};

std::string program(const std::string &name)
{
    return std::string(BURDOCKHEAD_BUILD_FOLDER) + "/" + name;
}

std::string makeFolder()
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/burdockhead-XXXXXX";
    return mkdtemp(pattern.data());
}

} // namespace

Deployment::Deployment(DeploymentPlan plan)
    : m_plan(std::move(plan))
    , m_folder(makeFolder())
    , m_platform(freeLoopbackAddress())
{
    DeployedProcess &platform = m_processes["platform"];
    platform.m_main = m_platform;
    platform.m_arguments = {program("standin_platform"), "--listen=" + m_platform.toString()};
    for (const std::string &dataCentre : m_plan.m_dataCentres) {
        addStandins(dataCentre);
        for (unsigned index = 0; index < m_plan.m_entriesPerDataCentre; ++index)
            addEntry("entry-" + dataCentre + "-" + std::to_string(index), dataCentre);
    }
    addSeeds();
}

Deployment::~Deployment()
{
    m_processes.clear();
    if (!m_keepsFolder && std::getenv("BURDOCKHEAD_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
}

void Deployment::addStandins(const std::string &dataCentre)
{
    for (unsigned index = 0; index < m_plan.m_enginesPerDataCentre; ++index) {
        const std::string name = "engine-" + dataCentre + "-" + std::to_string(index);
        DeployedProcess &engine = m_processes[name];
        engine.m_main = freeLoopbackAddress();
        engine.m_arguments = {program("standin_engine"), "--listen=" + engine.m_main.toString(),
                              "--carry_cold=" + std::to_string(m_plan.m_coldLimit),
                              "--carry_warm=" + std::to_string(m_plan.m_warmLimit),
                              "--token_us=" + std::to_string(m_plan.m_tokenMicroseconds)};
        addAgent(name, engine.m_main, dataCentre);
    }
    for (unsigned index = 0; index < m_plan.m_servicesPerDataCentre; ++index) {
        const std::string name = "service-" + dataCentre + "-" + std::to_string(index);
        DeployedProcess &service = m_processes[name];
        service.m_main = freeLoopbackAddress();
        service.m_arguments = {program("standin_service"), "--listen=" + service.m_main.toString(),
                               "--carry_cold=" + std::to_string(m_plan.m_coldLimit),
                               "--carry_warm=" + std::to_string(m_plan.m_warmLimit)};
        addAgent(name, service.m_main, dataCentre);
    }
}

void Deployment::addAgent(const std::string &endpoint, const SocketAddress &url,
                          const std::string &dataCentre)
{
    const std::string name = "agent-" + endpoint;
    DeployedProcess &agent = m_processes[name];
    agent.m_dataCentre = dataCentre;
    agent.m_main = freeLoopbackAddress();
    agent.m_operators = freeLoopbackAddress();
    agent.m_control = freeLoopbackAddress();
    agent.m_arguments = {program("burdockhead"), "agent", "--settings=" + m_folder + "/" + name};
    std::ostringstream text;
    text << "[process]\nname = " << name << "\ndata_centre = " << dataCentre
         << "\n[listen]\nlink = " << agent.m_main.toString()
         << "\noperators = " << agent.m_operators.toString()
         << "\ncontrol = " << agent.m_control.toString() << "\n[platform]\nurl = http://"
         << m_platform.toString() << "\n[endpoint]\nname = " << endpoint << "\nurl = http://"
         << url.toString() << "\nprobe_path = /load\n[limits]\ndrain_ms = 30000\n";
    writeSettings(name, text.str());
}

void Deployment::addEntry(const std::string &name, const std::string &dataCentre)
{
    DeployedProcess &entry = m_processes[name];
    entry.m_dataCentre = dataCentre;
    entry.m_main = freeLoopbackAddress();
    entry.m_operators = freeLoopbackAddress();
    entry.m_control = freeLoopbackAddress();
    entry.m_arguments = {program("burdockhead"), "entry", "--settings=" + m_folder + "/" + name};
    std::ostringstream text;
    text << "[process]\nname = " << name << "\ndata_centre = " << dataCentre
         << "\n[listen]\ncallers = " << entry.m_main.toString()
         << "\noperators = " << entry.m_operators.toString()
         << "\ncontrol = " << entry.m_control.toString() << "\n[platform]\nurl = http://"
         << m_platform.toString()
         << "\n[limits]\nanswer_hold_ms = " << m_plan.m_answerHoldMilliseconds
         << "\ndrain_ms = " << m_plan.m_drainMilliseconds << "\n";
    writeSettings(name, text.str());
}

// Every process names the entries' control addresses, so that it can start in an outage.
void Deployment::addSeeds()
{
    std::string seeds = "[seeds]\ncontrol = ";
    for (const std::string &entry : names("entry-"))
        seeds += (seeds.ends_with("= ") ? "" : ", ") + process(entry).m_control.toString();
    for (const auto &[name, process] : m_processes) {
        if (process.m_control.m_port != 0)
            std::ofstream(m_folder + "/" + name, std::ios::app) << seeds << "\n";
    }
}

void Deployment::writeSettings(const std::string &name, const std::string &text)
{
    std::ofstream(m_folder + "/" + name) << text;
}

std::string Deployment::configurationText(const std::string &takenOut) const
{
    std::ostringstream text;
    for (const std::string &dataCentre : m_plan.m_dataCentres)
        text << "[data_centre " << dataCentre
             << "]\nstate = " << (dataCentre == takenOut ? "out" : "in") << "\n\n";
    text << "[kind digest]\nrepeatable = yes\ndeadline_ms = " << m_plan.m_kindDeadlineMilliseconds
         << "\n\n[kind report]\nrepeatable = yes\n\n"
         << "[kind sign-off]\nrepeatable = no\nweight = 5\npriority = 5\n\n"
         << "[workspace library]\nshare = 2\n\n[workspace office]\nshare = 1\n\n";
    std::ostringstream limits;
    limits << "cold_limit = " << m_plan.m_coldLimit << "\nwarm_limit = " << m_plan.m_warmLimit
           << "\nqueue_limit = " << m_plan.m_queueLimit << "\n\n";
    for (const std::string &dataCentre : m_plan.m_dataCentres)
        text << "[model_group shelf-" << dataCentre
             << "]\nmodel = shelf-8b\nkinds = digest\nranks = " << m_plan.m_enginesPerDataCentre
             << "\n"
             << limits.str();
    text << "[service records]\nkinds = report, sign-off\n" << limits.str();
    for (const std::string &dataCentre : m_plan.m_dataCentres) {
        for (unsigned index = 0; index < m_plan.m_enginesPerDataCentre; ++index)
            text << "[endpoint engine-" << dataCentre << "-" << index << "]\ngroup = shelf-"
                 << dataCentre << "\ndata_centre = " << dataCentre << "\nrank = " << index
                 << "\n\n";
        for (unsigned index = 0; index < m_plan.m_servicesPerDataCentre; ++index)
            text << "[endpoint service-" << dataCentre << "-" << index
                 << "]\ngroup = records\ndata_centre = " << dataCentre << "\n\n";
    }
    return text.str();
}

std::string Deployment::vmList() const
{
    Json vms = Json::array();
    for (const auto &[name, process] : m_processes) {
        if (process.m_control.m_port == 0)
            continue;
        vms.push_back({{"name", name},
                       {"role", name.starts_with("entry") ? "entry" : "endpoint"},
                       {"data_centre", process.m_dataCentre},
                       {"control", process.m_control.toString()},
                       {"leaving", false}});
    }
    return vms.dump();
}

bool Deployment::start()
{
    restart("platform");
    const TimePoint last = Clock::now() + Seconds(10);
    while (!call(m_platform, "GET", "/stats") && Clock::now() < last)
        std::this_thread::sleep_for(pollInterval);
    const auto stored = call(m_platform, "PUT", "/objects/configuration/current",
                             configurationText(), {{"If-Match", "0"}});
    const auto listed = call(m_platform, "PUT", "/vms", vmList());
    if (!stored || stored->m_status != 200 || !listed || listed->m_status != 200)
        return false;
    for (const auto &[name, process] : m_processes) {
        if (name != "platform")
            restart(name);
    }
    return waitUntilServing();
}

void Deployment::restart(const std::string &name)
{
    DeployedProcess &process = m_processes.at(name);
    process.m_child.reset();
    const bool isStandIn = process.m_control.m_port == 0;
    process.m_child =
        std::make_unique<ChildProcess>(process.m_arguments, m_folder + "/" + name + ".log",
                                       isStandIn ? 0 : m_plan.m_maxDescriptors);
}

std::vector<std::string> Deployment::names(const std::string &prefix) const
{
    std::vector<std::string> found;
    for (const auto &[name, process] : m_processes) {
        if (name.starts_with(prefix))
            found.push_back(name);
    }
    return found;
}

bool Deployment::servesEverything(const std::string &entry)
{
    const auto ready = call(process(entry).m_operators, "GET", "/ready");
    const auto members = call(process(entry).m_operators, "GET", "/members");
    if (!ready || ready->m_status != 200 || !members)
        return false;
    return Json::parse(members->m_body).size() == names("entry-").size() + names("agent-").size();
}

bool Deployment::waitUntilServing()
{
    const TimePoint last = Clock::now() + startLimit;
    std::vector<std::string> waiting = names("entry-");
    while (!waiting.empty() && Clock::now() < last) {
        std::erase_if(waiting,
                      [this](const std::string &entry) { return servesEverything(entry); });
        if (!waiting.empty())
            std::this_thread::sleep_for(pollInterval);
    }
    std::vector<std::string> agents = names("agent-");
    while (!agents.empty() && Clock::now() < last) {
        std::erase_if(agents, [this](const std::string &agent) {
            const auto ready = call(process(agent).m_operators, "GET", "/ready");
            return ready && ready->m_status == 200;
        });
        if (!agents.empty())
            std::this_thread::sleep_for(pollInterval);
    }
    return waiting.empty() && agents.empty();
}

std::optional<HttpResponse> Deployment::call(const SocketAddress &address,
                                             const std::string &method, const std::string &path,
                                             const std::string &body,
                                             std::vector<HttpHeader> headers)
{
    HttpClientCall call;
    call.m_method = method;
    call.m_url = "http://" + address.toString() + path;
    call.m_headers = std::move(headers);
    call.m_body = body;
    call.m_deadline = Clock::now() + callLimit;
    call.m_neverResend = true;
    Failure failure;
    return m_http.callAndWait(std::move(call), failure);
}

std::optional<HttpResponse> Deployment::chat(const std::string &entry, const std::string &prompt,
                                             unsigned tokens, bool stream)
{
    const Json body{{"model", "shelf-8b"},
                    {"messages", Json::array({{{"role", "user"}, {"content", prompt}}})},
                    {"stream", stream},
                    {"max_tokens", tokens}};
    return call(process(entry).m_main, "POST", "/v1/chat/completions", body.dump(),
                {{"Burdockhead-Workspace", "library"}, {"Burdockhead-Kind", "digest"}});
}

std::optional<HttpResponse> Deployment::signOff(const std::string &entry, const std::string &key,
                                                const std::string &body)
{
    return call(process(entry).m_main, "POST", "/v1/services/sign-off/branches/7", body,
                {{"Burdockhead-Workspace", "library"}, {"Idempotency-Key", key}});
}

nlohmann::json Deployment::page(const std::string &name, const std::string &path)
{
    const auto response = call(process(name).m_main, "GET", path);
    auto parsed = response ? Json::parse(response->m_body, nullptr, false) : Json();
    return parsed.is_object() ? parsed : Json::object();
}

void Deployment::post(const std::string &name, const std::string &path, const nlohmann::json &body)
{
    call(process(name).m_main, "POST", path, body.dump());
}

bool Deployment::setTakenOut(const std::string &entry, const std::string &dataCentre, bool out)
{
    const SocketAddress &address = process(entry).m_operators;
    const auto shown = call(address, "GET", "/configuration");
    if (!shown)
        return false;
    std::string version;
    for (const HttpHeader &header : shown->m_headers) {
        if (header.m_name == "X-Configuration-Version")
            version = header.m_value;
    }
    const auto applied = call(address, "PUT", "/configuration",
                              configurationText(out ? dataCentre : ""), {{"If-Match", version}});
    return applied && applied->m_status == 200;
}

double Deployment::metric(const std::string &name, const std::string &metric)
{
    const auto response = call(process(name).m_operators, "GET", "/metrics");
    if (!response)
        return 0;
    std::istringstream lines(response->m_body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(metric + " "))
            return std::stod(line.substr(metric.size() + 1));
    }
    return 0;
}

std::vector<std::string> streamedTokens(const std::string &body)
{
    std::vector<std::string> tokens;
    std::istringstream lines(body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line == "data: [DONE]")
            return tokens;
        if (!line.starts_with("data: "))
            continue;
        const auto event = Json::parse(line.substr(6), nullptr, false);
        if (!event.is_object() || !event.contains("choices"))
            return {};
        tokens.push_back(event["choices"][0]["delta"]["content"]);
    }
    return {};
}

} // namespace burdockhead
