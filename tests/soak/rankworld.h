#pragma once

#include "faultyproxy.h"
#include "groupstandin.h"
#include "soakplan.h"
#include "storefaults.h"
#include "supervisedprocess.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace burdockhead::test {

// Rank agents and gateways as processes beside a group of ranks in lock-step and a store of the
// soak's own. The demand for experts shifts, so that coordinators change the group's map all the
// time.
class RankWorld
{
public:
    RankWorld(std::uint64_t seed, std::size_t ranks, const std::filesystem::path &folder,
              const GroupShape &shape = {});
    RankWorld(const RankWorld &) = delete;
    RankWorld &operator=(const RankWorld &) = delete;

    static std::vector<FaultType> faultTypes();

    // Lets each shift of the demand be such that several changes of the map follow.
    void changeMapsOften() { m_drawsDemand = true; }

    // Runs the faults, then shifts the demand a last time; the map has to follow in the calm at the
    // end.
    void run(const std::vector<Fault> &faults, Milliseconds span, Milliseconds calm);

    // The promises that were broken, one line each; empty when all hold.
    const std::vector<std::string> &violations() const { return m_violations; }

    std::uint64_t steps() const { return m_group.step(); }
    std::size_t mapChanges() const { return m_mapChanges; }

private:
    void startAgent(std::size_t rank);
    void putConfiguration();
    SupervisedProcess &processOf(const Fault &fault);
    void begin(const Fault &fault);
    void end(const Fault &fault);
    void watch();
    void checkEnd(std::uint64_t stepsAtCheck, std::uint64_t versionAtShift);

    EventLoop m_loop;
    std::filesystem::path m_folder;
    StoreStandIn m_store{m_loop};
    FaultyProxy m_storeProxy;
    StoreFaults m_storeFaults{m_store, m_storeProxy};
    std::vector<std::string> m_hosts;
    GroupStandIn m_group;
    std::uint16_t m_agentPort;
    std::vector<SocketAddress> m_gatewayAddresses;
    std::vector<std::unique_ptr<SupervisedProcess>> m_agents;
    std::vector<std::unique_ptr<SupervisedProcess>> m_gateways;
    int m_version = 1;
    bool m_drawsDemand = false;
    std::uint64_t m_seenMap = 0;
    std::size_t m_mapChanges = 0;
    std::vector<std::string> m_violations;
};

} // namespace burdockhead::test
