#pragma once

#include "childprocess.h"
#include "deploymentplan.h"
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/http/httpclient.h>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// One process of a deployment and where it is reached.
struct DeployedProcess
{
    std::vector<std::string> m_arguments;
    std::string m_dataCentre;
    SocketAddress m_main;      // Callers (entry), link (agent) or HTTP (stand-ins).
    SocketAddress m_operators; // Entries and agents.
    SocketAddress m_control;   // Entries and agents.
    std::unique_ptr<ChildProcess> m_child;
};

// A whole small deployment as separate processes on loopback: the platform's stand-in,
// engines and services with an agent each, and entries. Names: "platform", "entry-dc-a-0",
// "engine-dc-a-0", "agent-engine-dc-a-0", "service-dc-a-0", "agent-service-dc-a-0".
class Deployment
{
public:
    explicit Deployment(DeploymentPlan plan);
    ~Deployment();

    // Starts everything and waits until every entry reaches every endpoint.
    bool start();

    // Starts a process that was killed again, with the same settings.
    void restart(const std::string &name);

    ChildProcess &child(const std::string &name) { return *m_processes.at(name).m_child; }
    const DeployedProcess &process(const std::string &name) const { return m_processes.at(name); }
    std::vector<std::string> names(const std::string &prefix) const;

    // Makes one HTTP call; none when no whole response came in 20 s.
    std::optional<HttpResponse> call(const SocketAddress &address, const std::string &method,
                                     const std::string &path, const std::string &body = "",
                                     std::vector<HttpHeader> headers = {});

    // Sends a chat request of the kind "digest" through an entry.
    std::optional<HttpResponse> chat(const std::string &entry, const std::string &prompt,
                                     unsigned tokens, bool stream = true);

    // Sends a request of the kind "sign-off", which may not be repeated.
    std::optional<HttpResponse> signOff(const std::string &entry, const std::string &key,
                                        const std::string &body);

    // A stand-in's JSON page; an empty object when it can't be had.
    nlohmann::json page(const std::string &name, const std::string &path);

    // Sets a fault or mark at a stand-in.
    void post(const std::string &name, const std::string &path, const nlohmann::json &body);

    // Takes a data centre out or brings it back, through an entry's operators' port; true
    // once it is accepted.
    bool setTakenOut(const std::string &entry, const std::string &dataCentre, bool out);

    // A number from a process's metrics; 0 when it is missing.
    double metric(const std::string &name, const std::string &metric);

    // The configuration as text, with data centres taken out or not.
    std::string configurationText(const std::string &takenOut = "") const;

    HttpClient &http() { return m_http; }

    // Settings and logs of the processes; removed at the end unless they are to be kept.
    const std::string &folder() const { return m_folder; }
    void keepFolder() { m_keepsFolder = true; }

private:
    void addStandins(const std::string &dataCentre);
    void addAgent(const std::string &endpoint, const SocketAddress &url,
                  const std::string &dataCentre);
    void addEntry(const std::string &name, const std::string &dataCentre);
    void addSeeds();
    void writeSettings(const std::string &name, const std::string &text);
    std::string vmList() const;
    bool waitUntilServing();
    bool servesEverything(const std::string &entry);

    DeploymentPlan m_plan;
    std::string m_folder;
    bool m_keepsFolder = false;
    SocketAddress m_platform;
    std::map<std::string, DeployedProcess> m_processes;
    HttpClient m_http;
};

// The tokens of a streamed answer, in order; empty when it is not whole.
std::vector<std::string> streamedTokens(const std::string &body);

} // namespace burdockhead
