#include "childprocess.h"
#include "freeport.h"
#include "groupstandin.h"
#include "loopback.h"
#include "storestandin.h"
#include <burdockhead/gateway/orderrelay.h>
#include <burdockhead/http/httprequest.h>
#include <burdockhead/net/shortcall.h>
#include <burdockhead/observe/wallclock.h>

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// More ranks than the coordinator sends a map to itself: agents forward it to the others.
constexpr std::size_t ranks = 10;
constexpr std::uint64_t seed = 7;
// How far the clock was ahead from which the group's versions were taken.
constexpr std::uint64_t aheadMilliseconds = 60000;

std::vector<std::string> hosts()
{
    std::vector<std::string> hosts;
    for (std::size_t rank = 0; rank < ranks; ++rank)
        hosts.push_back("127.0.0." + std::to_string(10 + rank));
    return hosts;
}

// A gateway that relays agents' orders until its VM freezes, right after an order to hold the
// group.
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
    std::size_t forwardedHolds() const { return m_forwardedHolds; }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        if (m_forwardedHolds > 0)
            return;
        const HttpHead &request = exchange->head();
        const auto engine =
            SocketAddress::parse(findHeader(request.m_headers, relayToHeader).value());
        const std::string target = request.m_target.substr(std::string(relayPrefix).size());
        m_call = std::make_unique<ShortCall>(m_loop, m_client, *engine, "POST", target,
                                             exchange->body(), Clock::now() + Seconds(1),
                                             [this](ShortCall &) { ++m_forwardedHolds; });
    }

    EventLoop &m_loop;
    HttpClientPool m_client;
    const SocketAddress m_address = freeLoopbackAddress();
    HttpListener m_listener;
    std::unique_ptr<ShortCall> m_call;
    std::size_t m_forwardedHolds = 0;
};

// Agent processes beside the ranks of a group, and a store.
class GroupFixture
{
public:
    explicit GroupFixture(const GroupShape &shape = {})
        : m_group(m_loop, hosts(), freeLoopbackAddress().m_port, seed, shape)
        , m_agentPort(freeLoopbackAddress().m_port)
        , m_directory(std::filesystem::temp_directory_path()
                      / ("rank-agent-test-" + std::to_string(m_agentPort)))
    {
        std::filesystem::create_directories(m_directory);
        putConfiguration(1);
        for (std::size_t rank = 0; rank < ranks; ++rank)
            m_store.put("servers", "e" + std::to_string(rank), m_group.entry(rank));
    }

    ~GroupFixture()
    {
        m_agents.clear();
        std::filesystem::remove_all(m_directory);
    }

    GroupFixture(const GroupFixture &) = delete;
    GroupFixture &operator=(const GroupFixture &) = delete;

    void putConfiguration(int version)
    {
        m_store.put("config", "main",
                    R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[)"
                        + m_group.service() + R"(],"tenants":[]})");
    }

    // `gateways` is a list of HOST:PORT separated by commas.
    void startAgents(const std::string &gateways = "")
    {
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            const std::string name = "agent-" + std::to_string(rank);
            const std::string settings = m_directory / (name + ".ini");
            const std::string host = hosts()[rank];
            std::ofstream(settings)
                << "[process]\nname = " << name << "\ndata_centre = a\n[listen]\nagents = " << host
                << ":" << m_agentPort << "\n[endpoint]\naddress = " << m_group.address(rank)
                << "\nservice = llm\n[store]\naddress = " << m_store.address().toString() << "\n"
                << (gateways.empty() ? "" : "[seeds]\ngateways = " + gateways + "\n");
            m_agents.push_back(std::make_unique<ChildProcess>(
                std::vector<std::string>{std::string(BURDOCKHEAD_BUILD_FOLDER) + "/burdockhead",
                                         "rank-agent", "--settings=" + settings},
                m_directory / (name + ".log")));
        }
    }

    // Runs the loop until the condition holds or the time has passed; returns whether it holds.
    bool waitFor(Milliseconds span, const std::function<bool()> &condition)
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
    std::filesystem::path m_directory;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RankAgentProcess)

BOOST_AUTO_TEST_CASE(running_agents_change_the_map_of_a_group_whose_demand_is_uneven)
{
    GroupFixture fixture;
    fixture.startAgents();
    BOOST_TEST(fixture.waitFor(Seconds(9), [&] { return fixture.m_group.hasNewMap(); }));
    BOOST_TEST(!fixture.m_group.hasSplit());
}

BOOST_AUTO_TEST_CASE(orders_executed_late_split_no_step)
{
    GroupFixture fixture;
    fixture.m_group.setLateOrders(0.4, Seconds(2));
    fixture.startAgents();
    BOOST_TEST(fixture.waitFor(Seconds(9), [&] { return fixture.m_group.hasNewMap(); }));
    BOOST_TEST(fixture.waitFor(Seconds(3), [&] { return !fixture.m_group.isHeld(); }));
    // Late orders are executed in this time.
    fixture.waitFor(Seconds(3), [] { return false; });
    BOOST_TEST(!fixture.m_group.hasSplit());
}

// A plan that replaced one on its way got the version of that one, since the clock was behind the
// version of the group: a step began with two maps.
BOOST_AUTO_TEST_CASE(plans_replaced_while_the_clock_is_behind_share_no_version)
{
    constexpr Milliseconds slowTime{150};
    GroupShape shape;
    shape.m_loadTime = Milliseconds(400);
    GroupFixture fixture(shape);
    fixture.m_group.setFirstVersion((wallMilliseconds() + aheadMilliseconds) * 1000);
    fixture.m_group.setLateOrders(0.35, Seconds(2));
    fixture.startAgents();
    Random random(seed);
    const TimePoint end = Clock::now() + Seconds(9);
    while (Clock::now() < end) {
        const std::size_t rank = random() % ranks;
        fixture.m_group.drawDemand();
        fixture.m_group.setPace(rank, 5);
        fixture.waitFor(slowTime, [] { return false; });
        fixture.m_group.setPace(rank, 1);
        fixture.waitFor(slowTime, [] { return false; });
    }
    BOOST_TEST(!fixture.m_group.hasReusedVersion());
    BOOST_TEST(!fixture.m_group.hasSplit());
}

// A group that has formed anew uses map 0, and its ranks refuse what they have had before.
BOOST_AUTO_TEST_CASE(a_group_that_has_had_versions_ahead_of_the_clock_gets_a_new_map)
{
    GroupFixture fixture;
    fixture.m_group.setHighestVersion((wallMilliseconds() + aheadMilliseconds) * 1000);
    fixture.startAgents();
    // Each version that the ranks refuse takes two seconds.
    for (int wait = 0; wait < 2; ++wait)
        fixture.waitFor(Seconds(9), [&] { return fixture.m_group.hasNewMap(); });
    BOOST_TEST(fixture.m_group.hasNewMap());
    BOOST_TEST(!fixture.m_group.hasSplit());
}

// Load pattern: engines leave orders unanswered. If the coordinator had to repeat each of them, a
// change would take longer than the demand stays steady.
BOOST_AUTO_TEST_CASE(agents_retry_orders_that_their_engine_left_unanswered)
{
    // The coordinator alone would repeat them after 600 ms.
    constexpr Milliseconds maxRepetitionDelay{400};
    GroupFixture fixture;
    fixture.m_group.dropFirstPreparations();
    fixture.startAgents();
    BOOST_TEST(fixture.waitFor(Seconds(9), [&] { return fixture.m_group.hasNewMap(); }));
    BOOST_REQUIRE(fixture.m_group.longestRepetition().has_value());
    BOOST_TEST((*fixture.m_group.longestRepetition() < maxRepetitionDelay));
}

// Load pattern: a VM freezes with the order to hold the group. Beside a rank it would stop the
// change until it resumes.
BOOST_AUTO_TEST_CASE(a_change_completes_although_the_gateway_that_held_the_group_has_frozen)
{
    GroupFixture fixture;
    FreezingGateway gateway(fixture.m_loop);
    fixture.startAgents(gateway.address().toString());
    BOOST_TEST(fixture.waitFor(Seconds(9), [&] { return fixture.m_group.hasNewMap(); }));
    BOOST_TEST(gateway.forwardedHolds() == 1U);
    BOOST_TEST(fixture.waitFor(Seconds(1), [&] { return !fixture.m_group.isHeld(); }));
    BOOST_TEST(!fixture.m_group.hasSplit());
}

BOOST_AUTO_TEST_CASE(without_a_responsive_gateway_the_coordinator_holds_the_group_itself)
{
    GroupFixture fixture;
    fixture.startAgents(freeLoopbackAddress().toString() + "," + freeLoopbackAddress().toString());
    BOOST_TEST(fixture.waitFor(Seconds(9), [&] { return fixture.m_group.hasNewMap(); }));
}

// Load pattern: large configurations in quick succession fill the slow links of the agents' VMs, so
// that ranks appear unresponsive.
BOOST_AUTO_TEST_CASE(agents_do_not_read_each_configuration)
{
    constexpr std::size_t candidates = 3; // The agents of rank 0 and its standbys.
    GroupFixture fixture;
    fixture.startAgents();
    BOOST_REQUIRE(fixture.waitFor(Seconds(9), [&] { return fixture.m_group.hasNewMap(); }));
    for (int version = 2; version < 12; ++version) {
        fixture.putConfiguration(version);
        fixture.waitFor(Milliseconds(350), [] { return false; });
    }
    BOOST_TEST(fixture.m_store.calls("config") <= candidates);
}

// Load pattern: a VM freezes right after its agent has had the group held.
BOOST_AUTO_TEST_CASE(a_standby_resumes_a_group_whose_coordinator_has_frozen_with_rank_0)
{
    GroupFixture fixture;
    fixture.m_group.freezeOnHold(0, [&] { fixture.m_agents.front()->signal(SIGSTOP); });
    fixture.startAgents();
    BOOST_REQUIRE(fixture.waitFor(Seconds(9), [&] { return fixture.m_group.isFrozen(); }));
    const std::uint64_t before = fixture.m_group.step();
    BOOST_TEST(fixture.waitFor(Seconds(3), [&] { return fixture.m_group.step() > before + 10; }));
    fixture.m_agents.front()->signal(SIGCONT);
    fixture.m_group.thaw();
    BOOST_TEST(fixture.waitFor(Seconds(9), [&] { return fixture.m_group.hasNewMap(); }));
    BOOST_TEST(!fixture.m_group.hasSplit());
}

BOOST_AUTO_TEST_SUITE_END()
