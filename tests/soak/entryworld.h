#pragma once

#include "deployment.h"
#include "entryclients.h"
#include "soakplan.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockhead::test {

// Entries and agents as processes between clients, a platform, engines and services of the soak's
// own.
class EntryWorld
{
public:
    // Starts as many engines and services in each data centre.
    EntryWorld(std::uint64_t seed, unsigned endpoints);
    EntryWorld(const EntryWorld &) = delete;
    EntryWorld &operator=(const EntryWorld &) = delete;

    // Without faults that end entries where the platform comes back from an older copy: a claim
    // whose entry has ended is lost then, see docs/STORE-RESTORE.md.
    static std::vector<FaultType> faultTypes(bool restoresPlatform);

    // Runs the faults while clients call; returns when the span is over and all calls ended. At
    // least that part of the requests at the end has to be served.
    void run(const std::vector<Fault> &faults, Milliseconds span, double leastServed);

    // The promises that were broken, one line each; empty when all hold.
    const std::vector<std::string> &violations() const { return m_violations; }

    // Settings and logs, which are kept if a promise was broken.
    const std::string &folder() const { return m_deployment.folder(); }

    std::size_t requests() const { return m_requests; }
    double servedAtEnd() const { return m_servedAtEnd; }

private:
    void begin(const Fault &fault);
    void end(const Fault &fault);
    const std::string &chosen(const std::vector<std::string> &names, const Fault &fault) const;
    const std::string &processOf(const Fault &fault) const;
    bool isUp(const std::string &name);
    void keepRunning();
    std::map<std::string, std::uint64_t> runs();
    std::uint64_t overloads();

    const std::uint64_t m_seed;
    Deployment m_deployment;
    const std::vector<std::string> m_entries;
    const std::vector<std::string> m_agents;
    const std::vector<std::string> m_engines;
    const std::vector<std::string> m_services;
    std::set<std::string> m_down; // Killed, and not to be started again yet.
    std::set<std::string> m_paused;
    std::set<std::string> m_ordered; // Killed or told to stop since their start.
    std::vector<std::string> m_violations;
    std::size_t m_requests = 0;
    double m_servedAtEnd = 0;
};

} // namespace burdockhead::test
