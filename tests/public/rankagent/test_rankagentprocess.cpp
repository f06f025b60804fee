#include "childprocess.h"
#include "freeport.h"
#include "groupstandin.h"
#include "loopback.h"
#include "storestandin.h"
#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/net/shortcall.h>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// More than the coordinator tells itself: agents pass orders with a map on to the others.
constexpr std::size_t ranks = 10;
constexpr std::uint64_t seed = 7;

std::vector<std::string> hosts()
{
    std::vector<std::string> hosts;
    for (std::size_t rank = 0; rank < ranks; ++rank)
        hosts.push_back("127.0.0." + std::to_string(10 + rank));
    return hosts;
}

// A gateway as agents see it: it passes orders on until its VM freezes, right after one that holds
// the group.
class FreezingGateway
{
public:
    explicit FreezingGateway(EventLoop &loop)
        : m_loop(loop)
        , m_client(loop)
        , m_listener(loop, [this](const auto &exchange) { handle(exchange); })
    {
        std::string error;
        BOOST_REQUIRE(m_listener.start(m_address, error));
    }

    const SocketAddress &address() const { return m_address; }
    std::size_t held() const { return m_held; }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        if (m_held > 0)
            return;
        const HttpHead &request = exchange->head();
        const auto to = SocketAddress::parse(findHeader(request.m_headers, relayToHeader).value());
        const std::string target = request.m_target.substr(std::string(relayPrefix).size());
        m_call = std::make_unique<ShortCall>(m_loop, m_client, *to, "POST", target,
                                             exchange->body(), Clock::now() + Seconds(1),
                                             [this](ShortCall &) { ++m_held; });
    }

    EventLoop &m_loop;
    HttpClientPool m_client;
    const SocketAddress m_address = freeLoopbackAddress();
    HttpListener m_listener;
    std::unique_ptr<ShortCall> m_call;
    std::size_t m_held = 0;
};

// Running agents beside the ranks of a group, and a store.
class GroupWorld
{
public:
    GroupWorld()
        : m_group(m_loop, hosts(), freeLoopbackAddress().m_port, seed)
        , m_agentPort(freeLoopbackAddress().m_port)
        , m_folder(std::filesystem::temp_directory_path()
                   / ("rank-agent-test-" + std::to_string(m_agentPort)))
    {
        std::filesystem::create_directories(m_folder);
        putConfiguration(1);
        for (std::size_t rank = 0; rank < ranks; ++rank)
            m_store.put("servers", "e" + std::to_string(rank), m_group.entry(rank));
    }

    ~GroupWorld()
    {
        m_agents.clear();
        std::filesystem::remove_all(m_folder);
    }

    GroupWorld(const GroupWorld &) = delete;
    GroupWorld &operator=(const GroupWorld &) = delete;

    void putConfiguration(int version)
    {
        m_store.put("config", "main",
                    R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[)"
                        + GroupStandIn::service() + R"(],"tenants":[]})");
    }

    // Agents know these gateways, as HOST:PORT with commas between.
    void startAgents(const std::string &gateways = "")
    {
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            const std::string name = "agent-" + std::to_string(rank);
            const std::string settings = m_folder / (name + ".ini");
            const std::string host = hosts()[rank];
            std::ofstream(settings)
                << "[process]\nname = " << name << "\ndata_centre = a\n[listen]\nagents = " << host
                << ":" << m_agentPort << "\n[endpoint]\naddress = " << m_group.address(rank)
                << "\nservice = llm\n[store]\naddress = " << m_store.address().toString() << "\n"
                << (gateways.empty() ? "" : "[seeds]\ngateways = " + gateways + "\n");
            m_agents.push_back(std::make_unique<ChildProcess>(
                std::vector<std::string>{std::string(BURDOCKHEAD_BUILD_FOLDER) + "/burdockhead",
                                         "rank-agent", "--settings=" + settings},
                m_folder / (name + ".log")));
        }
    }

    // Runs until the condition holds or the time is over; whether it holds.
    bool within(Milliseconds span, const std::function<bool()> &condition)
    {
        const TimePoint end = Clock::now() + span;
        runUntil(m_loop, [&] { return condition() || Clock::now() >= end; });
        return condition();
    }

    EventLoop m_loop;
    StoreStandIn m_store{m_loop};
    GroupStandIn m_group;
    std::vector<std::unique_ptr<ChildProcess>> m_agents;

private:
    std::uint16_t m_agentPort;
    std::filesystem::path m_folder;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RankAgentProcess)

BOOST_AUTO_TEST_CASE(running_agents_change_the_map_of_a_group_whose_demand_is_uneven)
{
    GroupWorld world;
    world.startAgents();
    BOOST_TEST(world.within(Seconds(9), [&] { return world.m_group.hasNewMap(); }));
    BOOST_TEST(!world.m_group.hasSplit());
}

BOOST_AUTO_TEST_CASE(orders_that_are_carried_out_late_split_no_step)
{
    GroupWorld world;
    world.m_group.setLateOrders(0.4, Seconds(2));
    world.startAgents();
    BOOST_TEST(world.within(Seconds(9), [&] { return world.m_group.hasNewMap(); }));
    BOOST_TEST(world.within(Seconds(3), [&] { return !world.m_group.isHeld(); }));
    // Late orders are carried out now.
    world.within(Seconds(3), [] { return false; });
    BOOST_TEST(!world.m_group.hasSplit());
}

// The load pattern of engines that leave orders unanswered: a change whose coordinator has to give
// each of them again takes longer than the demand stays.
BOOST_AUTO_TEST_CASE(agents_soon_repeat_orders_that_their_engine_left_unanswered)
{
    // Without them the coordinator does so after 600 ms.
    constexpr Milliseconds soon{400};
    GroupWorld world;
    world.m_group.dropFirstPreparations();
    world.startAgents();
    BOOST_TEST(world.within(Seconds(9), [&] { return world.m_group.hasNewMap(); }));
    BOOST_REQUIRE(world.m_group.longestRepetition().has_value());
    BOOST_TEST((*world.m_group.longestRepetition() < soon));
}

// The load pattern of a VM that freezes with the order to hold the group: beside a rank it would
// stop the change until it is back.
BOOST_AUTO_TEST_CASE(a_change_ends_though_the_gateway_that_held_the_group_has_frozen)
{
    GroupWorld world;
    FreezingGateway gateway(world.m_loop);
    world.startAgents(gateway.address().toString());
    BOOST_TEST(world.within(Seconds(9), [&] { return world.m_group.hasNewMap(); }));
    BOOST_TEST(gateway.held() == 1U);
    BOOST_TEST(world.within(Seconds(1), [&] { return !world.m_group.isHeld(); }));
    BOOST_TEST(!world.m_group.hasSplit());
}

BOOST_AUTO_TEST_CASE(without_a_gateway_that_answers_the_coordinator_holds_the_group_itself)
{
    GroupWorld world;
    world.startAgents(freeLoopbackAddress().toString() + "," + freeLoopbackAddress().toString());
    BOOST_TEST(world.within(Seconds(9), [&] { return world.m_group.hasNewMap(); }));
}

// The load pattern of large configurations in quick succession, which fill the slow links of the
// agents' VMs, so that ranks seem silent.
BOOST_AUTO_TEST_CASE(agents_do_not_read_each_configuration)
{
    constexpr std::size_t candidates = 3; // The agents beside the first ranks.
    GroupWorld world;
    world.startAgents();
    BOOST_REQUIRE(world.within(Seconds(9), [&] { return world.m_group.hasNewMap(); }));
    for (int version = 2; version < 12; ++version) {
        world.putConfiguration(version);
        world.within(Milliseconds(350), [] { return false; });
    }
    BOOST_TEST(world.m_store.calls("config") <= candidates);
}

// The load pattern of a VM that freezes right after its agent has had the group held.
BOOST_AUTO_TEST_CASE(a_deputy_lets_a_group_go_whose_coordinator_has_frozen_with_rank_0)
{
    GroupWorld world;
    world.m_group.freezeOnHold(0, [&] { world.m_agents.front()->signal(SIGSTOP); });
    world.startAgents();
    BOOST_REQUIRE(world.within(Seconds(9), [&] { return world.m_group.isFrozen(); }));
    const std::uint64_t before = world.m_group.step();
    BOOST_TEST(world.within(Seconds(3), [&] { return world.m_group.step() > before + 10; }));
    world.m_agents.front()->signal(SIGCONT);
    world.m_group.thaw();
    BOOST_TEST(world.within(Seconds(9), [&] { return world.m_group.hasNewMap(); }));
    BOOST_TEST(!world.m_group.hasSplit());
}

BOOST_AUTO_TEST_SUITE_END()
