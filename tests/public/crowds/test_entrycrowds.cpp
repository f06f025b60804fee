#include "crowdchecks.h"
#include "deployment.h"
#include <burdockhead/net/httpwriting.h>
#include <burdockhead/transport/frame.h>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// Half of the memory of a small VM, as for a gateway.
constexpr std::size_t maxMemoryKilobytes = 133120;
// Descriptors of each process, and how many of them may be open: an eighth stays free for its own
// connections.
constexpr std::size_t descriptors = 400;
constexpr std::size_t maxDescriptors = 350;
constexpr std::size_t bodyBytes = 1048576; // That entries and agents take by default.
constexpr std::size_t pieceBytes = 65536;
const std::string entry = "entry-dc-a-0";
const std::string agent = "agent-service-dc-a-0";

DeploymentPlan smallPlan()
{
    DeploymentPlan plan;
    plan.m_dataCentres = {"dc-a"};
    plan.m_maxDescriptors = descriptors;
    return plan;
}

// One entry before one service and one engine with an agent each.
class EntryCrowds
{
public:
    EntryCrowds()
        : m_deployment(smallPlan())
    {
        BOOST_REQUIRE(m_deployment.start());
    }

    static std::string openHead()
    {
        std::string head = requestHead("POST", "/v1/services/sign-off/branches/7",
                                       {{"Host", "entry"}, {"Burdockhead-Workspace", "library"}});
        head.resize(head.size() - 2);
        return head;
    }

    static std::string chunkedHead() { return openHead() + "Transfer-Encoding: chunked\r\n\r\n"; }

    // Returns the status of an ordinary request; 0 if there is no response.
    int askForReport()
    {
        const auto response = m_deployment.call(m_deployment.process(entry).m_main, "GET",
                                                "/v1/services/report/branches/7", "",
                                                {{"Burdockhead-Workspace", "library"}});
        return response ? response->m_status : 0;
    }

    void play(const std::string &process, const SocketAddress &port, std::size_t clients,
              const CrowdScript &script)
    {
        const ClientCrowd crowd(m_loop, port, clients, script);
        waitForCrowd(m_loop, crowd);
        checkBounds(m_deployment.child(process), maxMemoryKilobytes, maxDescriptors);
        BOOST_TEST(askForReport() == 200);
        checkBounds(m_deployment.child(process), maxMemoryKilobytes, maxDescriptors);
    }

    const DeployedProcess &process(const std::string &name) { return m_deployment.process(name); }

private:
    EventLoop m_loop;
    Deployment m_deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryCrowdTests, EntryCrowds)

BOOST_AUTO_TEST_CASE(bodies_in_chunks_that_stop_just_short_of_their_end)
{
    play(entry, process(entry).m_main, 150,
         {chunkedHead(), chunkedPiece(pieceBytes - 16), bodyBytes / pieceBytes});
}

BOOST_AUTO_TEST_CASE(bodies_in_chunks_of_one_byte)
{
    constexpr std::size_t contentBytes = 262144;
    const std::string piece = chunkedPiece(1);
    const std::size_t pieces = contentBytes * chunk("x").size() / piece.size();
    play(entry, process(entry).m_main, 60, {chunkedHead(), piece, pieces});
}

BOOST_AUTO_TEST_CASE(bodies_in_chunks_without_end)
{
    play(entry, process(entry).m_main, 150,
         {chunkedHead(), chunkedPiece(pieceBytes - 16), 8 * bodyBytes / pieceBytes});
}

BOOST_AUTO_TEST_CASE(connections_that_send_nothing)
{
    play(entry, process(entry).m_main, 500, {"", "", 0});
}

BOOST_AUTO_TEST_CASE(bodies_at_the_operators_port_in_chunks_of_one_byte)
{
    constexpr std::size_t contentBytes = 262144;
    const std::string piece = chunkedPiece(1);
    const std::size_t pieces = contentBytes * chunk("x").size() / piece.size();
    play(agent, process(agent).m_operators, 60, {chunkedHead(), piece, pieces});
}

BOOST_AUTO_TEST_CASE(connections_that_send_nothing_to_the_control_port)
{
    play(entry, process(entry).m_control, 500, {"", "", 0});
}

// What the message library's peers send first: a request socket's protocol header.
const std::string controlGreeting("\0SP\0\0\x30\0\0", 8);

BOOST_AUTO_TEST_CASE(connections_that_only_greet_at_the_control_port)
{
    play(entry, process(entry).m_control, 500, {controlGreeting, "", 0});
}

// Lengths of messages are announced in eight bytes, most significant first.
BOOST_AUTO_TEST_CASE(large_messages_that_do_not_end_at_the_control_port)
{
    const std::string length("\0\0\0\0\0\x7f\xff\xff", 8);
    play(entry, process(entry).m_control, 32,
         {controlGreeting + length, std::string(pieceBytes, 'x'), 100});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AgentCrowdTests, EntryCrowds)

// Lengths of frames are announced in four bytes, most significant first.
BOOST_AUTO_TEST_CASE(large_frames_that_do_not_end)
{
    const std::string length("\x00\xff\xff\xff", 4);
    play(agent, process(agent).m_main, 16, {length, std::string(pieceBytes, 'x'), 200});
}

BOOST_AUTO_TEST_CASE(large_frames_that_do_not_end_after_a_sound_one)
{
    const std::string hello =
        encodeFrame(HelloFrame{ProcessName("crowd"), Incarnation{1}, 1}, Clock::now());
    const std::string helloLength{0, 0, 0, static_cast<char>(hello.size())};
    const std::string length("\x00\xff\xff\xff", 4);
    play(agent, process(agent).m_main, 16,
         {helloLength + hello + length, std::string(pieceBytes, 'x'), 200});
}

BOOST_AUTO_TEST_CASE(connections_that_send_nothing_to_an_agent)
{
    play(agent, process(agent).m_main, 500, {"", "", 0});
}

BOOST_AUTO_TEST_SUITE_END()
