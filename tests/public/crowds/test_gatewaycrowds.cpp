#include "crowdchecks.h"
#include "gatewayfixture.h"
#include <burdockhead/net/httpwriting.h>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// Half of the memory that the platform gives a gateway: the other half is for what endpoints send
// and for what the gateway knows.
constexpr std::size_t maxMemoryKilobytes = 133120;
// Descriptors that the platform gives a gateway, and that a test leaves it. An eighth has to stay
// free for the gateway's own connections.
constexpr std::size_t platformDescriptors = 4100;
constexpr std::size_t fewDescriptors = 400;
constexpr std::size_t bodyBytes = 4194304; // In the limits of the configuration.
constexpr std::size_t headBytes = 16384;   // The same.
constexpr std::size_t pieceBytes = 65536;
constexpr std::size_t requestsForTime = 240;
// Processor time of requests whose heads name many things, relative to that of others of their
// size, and what it is measured with.
constexpr int maxTimeFactor = 2;
constexpr Milliseconds timeTolerance{100};

class GatewayCrowds : public GatewayFixture
{
public:
    // Returns a request's head that lacks the blank line.
    static std::string openHead(const std::string &path)
    {
        std::string head = requestHead("POST", path,
                                       {{"Host", "h.example"},
                                        {"X-Request-Id", "c1"},
                                        {"X-Deadline-Ms", "3000"},
                                        {"Authorization", "Token key"}});
        head.resize(head.size() - 2);
        return head;
    }

    // Returns a request inside the limits with these headers.
    static std::string requestWith(const HttpHeaders &furtherHeaders)
    {
        std::string text = openHead("/unsafe/crowd") + "Content-Length: 0\r\n";
        for (const HttpHeader &header : furtherHeaders)
            text += header.m_name + ": " + header.m_value + "\r\n";
        BOOST_REQUIRE(text.size() + 2 <= headBytes);
        return text + "\r\n";
    }

    // Lets clients send the request each, and returns the processor time that the gateway takes.
    Milliseconds timeOf(const std::string &request)
    {
        const auto before = m_gateway->processorTime();
        play(m_clients, requestsForTime, {request, "", 0});
        const auto after = m_gateway->processorTime();
        BOOST_REQUIRE((before && after));
        BOOST_TEST_MESSAGE("processor time " << (*after - *before).count() << " ms");
        return *after - *before;
    }

    // Checks that a request takes hardly longer with the header than with another one of its size.
    void checkTimeOf(const HttpHeader &header, const HttpHeaders &furtherHeaders)
    {
        start();
        const auto with = [&](const HttpHeader &first) {
            HttpHeaders headers = {first};
            headers.insert(headers.end(), furtherHeaders.begin(), furtherHeaders.end());
            return requestWith(headers);
        };
        const std::string padding(header.m_name.size(), 'x');
        const Milliseconds plain = timeOf(with({padding, header.m_value}));
        BOOST_TEST((timeOf(with(header)) < maxTimeFactor * plain + timeTolerance));
    }

    static std::string chunkedHead()
    {
        return openHead("/unsafe/crowd") + "Transfer-Encoding: chunked\r\n\r\n";
    }

    void play(const SocketAddress &server, std::size_t clients, const CrowdScript &script)
    {
        const std::size_t descriptors =
            m_maxDescriptors == 0 ? platformDescriptors : m_maxDescriptors;
        const std::size_t maxDescriptors = descriptors - descriptors / 8;
        const ClientCrowd crowd(m_loop, server, clients, script);
        waitForCrowd(m_loop, crowd);
        checkBounds(*m_gateway, maxMemoryKilobytes, maxDescriptors);
        BOOST_TEST(request("POST", "/stream/x")->status() == 200);
        checkBounds(*m_gateway, maxMemoryKilobytes, maxDescriptors);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GatewayCrowdTests, GatewayCrowds)

BOOST_AUTO_TEST_CASE(bodies_in_chunks_that_stop_just_short_of_their_end)
{
    start();
    play(m_clients, 48, {chunkedHead(), chunkedPiece(pieceBytes - 16), bodyBytes / pieceBytes});
}

BOOST_AUTO_TEST_CASE(bodies_in_chunks_without_end)
{
    start();
    play(m_clients, 48, {chunkedHead(), chunkedPiece(pieceBytes - 16), 4 * bodyBytes / pieceBytes});
}

BOOST_AUTO_TEST_CASE(heads_of_very_short_lines_that_do_not_end)
{
    start();
    const std::string head = openHead("/unsafe/crowd");
    play(m_clients, 640, {head + shortHeaderLines(headBytes - head.size() - 512), "", 0});
}

BOOST_AUTO_TEST_CASE(requests_sent_ahead_to_slow_endpoints)
{
    start();
    for (const auto &endpoint : m_app)
        endpoint->setDelay(Milliseconds(2000));
    constexpr std::size_t requestBytes = 2048;
    constexpr std::size_t requests = 125;
    std::string one = openHead("/unsafe/crowd") + "Content-Length: 0\r\n";
    one += "X-Padding: " + std::string(requestBytes - one.size() - 15, 'x') + "\r\n\r\n";
    std::string all;
    for (std::size_t count = 0; count < requests; ++count)
        all += one;
    play(m_clients, 700, {all, "", 0});
}

// The gateway was busy for 25 ms with each, and ordinary requests got no response.
BOOST_AUTO_TEST_CASE(requests_with_many_prompt_parts)
{
    std::string parts;
    for (std::size_t part = 0; part < 2600; ++part)
        parts += std::to_string(part) + ":1,";
    parts.resize(15000);
    checkTimeOf({"X-Prompt-Prefix", parts}, {});
}

// The same, with 30 ms.
BOOST_AUTO_TEST_CASE(requests_with_many_names_of_connection_headers)
{
    std::string names;
    for (std::size_t name = 0; name < 3800; ++name)
        names += "a,";
    checkTimeOf({"Connection", names}, HttpHeaders(1300, HttpHeader{"x", "y"}));
}

// Each entry was kept as a text of its own: 32 bytes for each byte that the client was charged for.
BOOST_AUTO_TEST_CASE(requests_that_wait_with_many_empty_prompt_parts)
{
    start();
    for (const auto &endpoint : m_app)
        endpoint->setDelay(Milliseconds(2000));
    play(m_clients, 1200, {requestWith({{"X-Prompt-Prefix", std::string(15800, ',')}}), "", 0});
}

BOOST_AUTO_TEST_CASE(requests_sent_ahead_whose_answers_are_not_read)
{
    start();
    const std::string one = requestHead("GET", "/metrics", {{"Host", "h.example"}});
    std::string all;
    for (std::size_t count = 0; count < 50; ++count)
        all += one;
    play(m_metrics, 40, {"", all, 40});
}

BOOST_AUTO_TEST_CASE(connections_that_send_nothing)
{
    m_maxDescriptors = fewDescriptors;
    start();
    play(m_clients, 500, {"", "", 0});
}

BOOST_AUTO_TEST_CASE(connections_that_send_nothing_to_a_port_that_is_not_for_clients)
{
    m_maxDescriptors = fewDescriptors;
    start();
    play(m_metrics, 500, {"", "", 0});
}

BOOST_AUTO_TEST_SUITE_END()
