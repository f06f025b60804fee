#include "crowdchecks.h"
#include "freeport.h"
#include "groupstandin.h"
#include "storestandin.h"
#include <burdockhead/net/httpwriting.h>
#include <burdockhead/net/shortcall.h>

#include <filesystem>
#include <fstream>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// Half of the memory that the platform gives a rank's agent.
constexpr std::size_t maxMemoryKilobytes = 65536;
// Descriptors of the agent, and how many of them may be open: an eighth stays free for its own
// connections.
constexpr std::size_t descriptors = 400;
constexpr std::size_t maxDescriptors = 350;
constexpr std::size_t bodyBytes = 4194304; // That agents take.
constexpr std::size_t headBytes = 16384;   // The same.
constexpr std::size_t pieceBytes = 65536;
constexpr std::uint64_t seed = 7;

// One agent beside the only rank of a group.
class RankAgentCrowds
{
public:
    RankAgentCrowds()
        : m_group(m_loop, {"127.0.0.10"}, freeLoopbackAddress().m_port, seed)
        , m_folder(std::filesystem::temp_directory_path()
                   / ("rank-agent-crowds-" + std::to_string(m_agent.m_port)))
    {
        std::filesystem::create_directories(m_folder);
        m_store.put("config", "main",
                    R"({"version":1,"routes":[],"services":[)" + m_group.service()
                        + R"(],"tenants":[]})");
        m_store.put("servers", "e0", m_group.entry(0));
        const std::string settings = m_folder / "agent.ini";
        std::ofstream(settings) << "[process]\nname = agent\ndata_centre = a\n[listen]\nagents = "
                                << m_agent.toString()
                                << "\n[endpoint]\naddress = " << m_group.address(0)
                                << "\nservice = llm\n[store]\naddress = "
                                << m_store.address().toString() << "\n";
        m_process = std::make_unique<ChildProcess>(
            std::vector<std::string>{std::string(BURDOCKHEAD_BUILD_FOLDER) + "/burdockhead",
                                     "rank-agent", "--settings=" + settings},
            m_folder / "agent.log", descriptors);
        for (int attempt = 0; attempt < 200 && statusOf("/metrics") != 200; ++attempt) {
            const TimePoint next = Clock::now() + Milliseconds(20);
            runUntil(m_loop, [&] { return Clock::now() > next; });
        }
        BOOST_REQUIRE(statusOf("/metrics") == 200);
    }

    ~RankAgentCrowds()
    {
        m_process.reset();
        std::filesystem::remove_all(m_folder);
    }

    RankAgentCrowds(const RankAgentCrowds &) = delete;
    RankAgentCrowds &operator=(const RankAgentCrowds &) = delete;

    // Returns the status of a request to the agent; 0 if there is no response.
    int statusOf(const std::string &target)
    {
        int status = 0;
        ShortCall call(m_loop, m_pool, m_agent, "GET", target, "", Clock::now() + Seconds(3),
                       [&](const ShortCall &ended) { status = ended.status(); });
        runUntil(m_loop, [&] { return call.isDone(); });
        return status;
    }

    static std::string openHead()
    {
        std::string head =
            requestHead("POST", "/order", {{"Host", "agent"}, {"X-Request-Id", "c1"}});
        head.resize(head.size() - 2);
        return head;
    }

    static std::string chunkedHead() { return openHead() + "Transfer-Encoding: chunked\r\n\r\n"; }

    void play(std::size_t clients, const CrowdScript &script)
    {
        const ClientCrowd crowd(m_loop, m_agent, clients, script);
        waitForCrowd(m_loop, crowd);
        checkBounds(*m_process, maxMemoryKilobytes, maxDescriptors);
        BOOST_TEST(statusOf("/metrics") == 200);
        checkBounds(*m_process, maxMemoryKilobytes, maxDescriptors);
    }

private:
    EventLoop m_loop;
    StoreStandIn m_store{m_loop};
    GroupStandIn m_group;
    const SocketAddress m_agent = freeLoopbackAddress();
    HttpClientPool m_pool{m_loop};
    const std::filesystem::path m_folder;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RankAgentCrowdTests, RankAgentCrowds)

BOOST_AUTO_TEST_CASE(bodies_in_chunks_that_stop_just_short_of_their_end)
{
    play(24, {chunkedHead(), chunkedPiece(pieceBytes - 16), bodyBytes / pieceBytes});
}

BOOST_AUTO_TEST_CASE(bodies_in_chunks_without_end)
{
    play(24, {chunkedHead(), chunkedPiece(pieceBytes - 16), 4 * bodyBytes / pieceBytes});
}

BOOST_AUTO_TEST_CASE(heads_of_very_short_lines_that_do_not_end)
{
    play(300, {openHead() + shortHeaderLines(headBytes - 1024), "", 0});
}

BOOST_AUTO_TEST_CASE(connections_that_send_nothing)
{
    play(500, {"", "", 0});
}

BOOST_AUTO_TEST_SUITE_END()
