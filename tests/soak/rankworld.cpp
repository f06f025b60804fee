#include "rankworld.h"

#include "freeport.h"

#include <algorithm>
#include <fstream>

namespace burdockhead::test {

namespace {

constexpr std::size_t gatewayCount = 2;
constexpr Milliseconds housekeeping{20};
// How old a report is to other VMs, as on the platform.
constexpr Milliseconds reportLag{200};
// The agents of the first ranks coordinate; of the faults of agents, every second one concerns
// them.
constexpr std::size_t coordinatingRanks = 3;
// Faults of orders: the part that they concern, and how late orders are carried out.
constexpr double faultyPart = 0.4;
constexpr Milliseconds orderDelay{2000};
// The last part of the span, in which steps have to go on: half of what the group can make.
constexpr Milliseconds judged{2000};
// Ranks that have experts of their own under the first map.
constexpr std::size_t demandedRanks = 6;

std::vector<std::string> hostsOf(std::size_t ranks)
{
    std::vector<std::string> hosts;
    for (std::size_t rank = 0; rank < ranks; ++rank)
        hosts.push_back("127.0.0." + std::to_string(10 + rank));
    return hosts;
}

std::vector<std::string> burdockhead(const std::string &command, const std::string &settings)
{
    return {std::string(BURDOCKHEAD_BUILD_FOLDER) + "/burdockhead", command,
            "--settings=" + settings};
}

} // namespace

RankWorld::RankWorld(std::uint64_t seed, std::size_t ranks, const std::filesystem::path &folder,
                     const GroupShape &shape)
    : m_folder(folder)
    , m_storeProxy(m_loop, m_store.address())
    , m_hosts(hostsOf(ranks))
    , m_group(m_loop, m_hosts, freeLoopbackAddress().m_port, seed, shape)
    , m_agentPort(freeLoopbackAddress().m_port)
{
    std::filesystem::create_directories(m_folder);
    m_group.serveOwnVms(freeLoopbackAddress().m_port, reportLag);
    putConfiguration();
    for (std::size_t rank = 0; rank < ranks; ++rank)
        m_store.put("servers", "e" + std::to_string(rank), m_group.entry(rank));
    for (std::size_t number = 0; number < gatewayCount; ++number)
        m_gatewayAddresses.push_back(freeLoopbackAddress());
    for (std::size_t number = 0; number < gatewayCount; ++number)
        m_gateways.push_back(startGateway(m_folder, "g" + std::to_string(number),
                                          {freeLoopbackAddress(), m_gatewayAddresses[number],
                                           m_gatewayAddresses.front(), m_storeProxy.address()}));
    for (std::size_t rank = 0; rank < ranks; ++rank)
        startAgent(rank);
}

std::vector<FaultType> RankWorld::faultTypes()
{
    std::vector<FaultType> types =
        test::faultTypes(FaultType::KillRankAgent, FaultType::ShiftDemand);
    types.insert(types.end(),
                 {FaultType::KillGateway, FaultType::StopGateway, FaultType::PauseGateway,
                  FaultType::SilenceStore, FaultType::RefuseStore, FaultType::CutStore,
                  FaultType::ChangeConfiguration, FaultType::ShiftDemand});
    return types;
}

void RankWorld::startAgent(std::size_t rank)
{
    const std::string name = "agent-" + std::to_string(rank);
    const std::string settings = m_folder / (name + ".ini");
    std::ofstream file(settings);
    file << "[process]\nname = " << name
         << "\ndata_centre = a\n[listen]\nagents = " << m_hosts[rank] << ":" << m_agentPort
         << "\n[endpoint]\naddress = " << m_group.ownAddress(rank)
         << "\nservice = llm\n[store]\naddress = " << m_storeProxy.address().toString()
         << "\n[seeds]\ngateways = ";
    for (const SocketAddress &gateway : m_gatewayAddresses)
        file << (gateway == m_gatewayAddresses.front() ? "" : ",") << gateway.toString();
    file << "\n" << std::flush;
    m_agents.push_back(std::make_unique<SupervisedProcess>(burdockhead("rank-agent", settings),
                                                           m_folder / (name + ".log")));
}

void RankWorld::putConfiguration()
{
    m_store.put("config", "main",
                R"({"version":)" + std::to_string(++m_version) + R"(,"routes":[],"services":[)"
                    + m_group.service() + R"(],"limits":{},"tenants":[]})");
}

SupervisedProcess &RankWorld::processOf(const Fault &fault)
{
    const bool isGateway = fault.m_type <= FaultType::ReloadGateway;
    auto &processes = isGateway ? m_gateways : m_agents;
    const bool concernsCoordinators = !isGateway && fault.m_which % 2 == 0;
    const std::size_t number = fault.m_which / 2;
    return *processes[number % (concernsCoordinators ? coordinatingRanks : processes.size())];
}

void RankWorld::begin(const Fault &fault)
{
    if (processOf(fault).begin(fault.m_type))
        return;
    if (StoreFaults::contains(fault.m_type)) {
        m_storeFaults.begin(fault);
        return;
    }
    switch (fault.m_type) {
    case FaultType::LoseOrders:
        m_group.setLostOrders(faultyPart);
        break;
    case FaultType::DelayOrders:
        m_group.setLateOrders(faultyPart, orderDelay);
        break;
    case FaultType::DoubleOrders:
        m_group.setDoubledOrders(faultyPart, orderDelay);
        break;
    case FaultType::ShiftDemand:
        if (m_drawsDemand)
            m_group.drawDemand();
        else
            m_group.shiftDemand(fault.m_which % demandedRanks);
        break;
    default:
        putConfiguration();
        break;
    }
}

void RankWorld::end(const Fault &fault)
{
    if (processOf(fault).end(fault.m_type))
        return;
    if (StoreFaults::contains(fault.m_type)) {
        m_storeFaults.end(fault);
        return;
    }
    switch (fault.m_type) {
    case FaultType::LoseOrders:
        m_group.setLostOrders(0);
        break;
    case FaultType::DelayOrders:
        m_group.setLateOrders(0, orderDelay);
        break;
    case FaultType::DoubleOrders:
        m_group.setDoubledOrders(0, orderDelay);
        break;
    default:
        break;
    }
}

void RankWorld::watch()
{
    for (const auto &processes : {&m_agents, &m_gateways}) {
        for (const auto &process : *processes)
            process->keepRunning();
    }
    m_mapChanges += m_group.mapVersion() != m_seenMap ? 1 : 0;
    m_seenMap = m_group.mapVersion();
    m_loop.callAt(Clock::now() + housekeeping, [this] { watch(); });
}

void RankWorld::checkEnd(std::uint64_t stepsAtCheck, std::uint64_t versionAtShift)
{
    for (const auto &processes : {&m_agents, &m_gateways}) {
        for (const auto &process : *processes)
            m_violations.insert(m_violations.end(), process->unexpectedEnds().begin(),
                                process->unexpectedEnds().end());
    }
    if (m_group.hasSplit())
        m_violations.emplace_back("ranks of one step used several maps");
    const auto leastSteps = static_cast<std::uint64_t>(judged / m_group.stepTime() / 2);
    if (m_group.step() < stepsAtCheck + leastSteps)
        m_violations.push_back("after the last fault the group made only "
                               + std::to_string(m_group.step() - stepsAtCheck) + " steps");
    if (m_group.mapVersion() == versionAtShift)
        m_violations.emplace_back("no map followed the last shift of the demand");
}

void RankWorld::run(const std::vector<Fault> &faults, Milliseconds span, Milliseconds calm)
{
    // Coordinators find the ranks first.
    constexpr Milliseconds settling{2500};
    const TimePoint startedAt = Clock::now() + settling;
    for (const Fault &fault : faults) {
        m_loop.callAt(startedAt + fault.m_at, [this, fault] { begin(fault); });
        m_loop.callAt(startedAt + fault.m_at + fault.m_for, [this, fault] { end(fault); });
    }
    std::uint64_t versionAtShift = 0;
    std::uint64_t stepsAtCheck = 0;
    m_loop.callAt(startedAt + span - calm + Seconds(1), [this, &versionAtShift] {
        versionAtShift = m_group.mapVersion();
        // The experts of all other ranks were in demand at some time.
        m_group.shiftDemand(demandedRanks);
    });
    m_loop.callAt(startedAt + span - judged,
                  [this, &stepsAtCheck] { stepsAtCheck = m_group.step(); });
    m_loop.callAt(startedAt + span, [this] { m_loop.stop(); });
    watch();
    m_loop.run();
    checkEnd(stepsAtCheck, versionAtShift);
}

} // namespace burdockhead::test
