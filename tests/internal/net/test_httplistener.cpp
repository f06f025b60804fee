#include "freeport.h"
#include "loopback.h"
#include <burdockhead/net/httplistener.h>

#include <algorithm>

using namespace burdockhead;
using namespace burdockhead::test;

namespace {

// A listener that keeps what it is asked.
struct Server
{
    explicit Server(EventLoop &loop)
        : m_listener(loop, [this](const std::shared_ptr<HttpExchange> &exchange) {
            m_exchanges.push_back(exchange);
            exchange->onClientGone([this] { ++m_gone; });
        })
    {
        std::string error;
        BOOST_REQUIRE_MESSAGE(m_listener.start(m_address, error), error);
    }

    SocketAddress m_address = freeLoopbackAddress();
    std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
    unsigned m_gone = 0;
    HttpListener m_listener;
};

struct Fixture
{
    EventLoop m_loop;
    Server m_server{m_loop};
    RawClient m_client{m_loop, m_server.m_address};

    void awaitRequests(std::size_t count)
    {
        runUntil(m_loop, [&] { return m_server.m_exchanges.size() == count; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Listener, Fixture)

BOOST_AUTO_TEST_CASE(requests_on_one_connection_are_answered_one_after_the_other)
{
    m_client.write("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi");
    awaitRequests(1);
    BOOST_TEST(m_server.m_exchanges[0]->head().m_target == "/a");
    m_server.m_exchanges[0]->answer(200, {}, "one");
    awaitRequests(2);
    BOOST_TEST(m_server.m_exchanges[1]->body() == "hi");
    m_server.m_exchanges[1]->answer(503, {}, "two");
    runUntil(m_loop, [&] { return m_client.received().ends_with("two"); });
    BOOST_TEST(m_client.received().find("one") < m_client.received().find("503"));
}

// The response to the next request came after the last chunk of the one to HEAD.
BOOST_AUTO_TEST_CASE(nothing_follows_the_head_of_a_response_to_head)
{
    m_client.write("HEAD /a HTTP/1.1\r\n\r\nHEAD /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.m_exchanges[0]->startAnswer(200, {});
    m_server.m_exchanges[0]->sendPart("part");
    m_server.m_exchanges[0]->finishAnswer();
    awaitRequests(2);
    m_server.m_exchanges[1]->answer(200, {}, "whole");
    awaitRequests(3);
    m_server.m_exchanges[2]->answer(503, {}, "last");
    runUntil(m_loop, [&] { return m_client.received().ends_with("last"); });
    const std::string &received = m_client.received();
    constexpr std::string_view blankLine = "\r\n\r\n";
    std::size_t begin = 0;
    for (int response = 0; response < 2; ++response) {
        begin = received.find(blankLine, begin) + blankLine.size();
        BOOST_TEST(received.substr(begin).starts_with("HTTP/1.1 "));
    }
}

// During a planned stop, connections ended a second after their response was queued.
BOOST_AUTO_TEST_CASE(a_response_is_sent_whole_before_its_connection_is_closed)
{
    constexpr std::size_t bodyBytes = 24 << 20; // More than the buffers of the network take.
    HttpServerLimits limits;
    limits.m_maxQueuedBytes = 2 * bodyBytes;
    m_server.m_listener.setLimits(limits);
    m_client.write("GET /a HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_client.pauseReading();
    m_server.m_listener.closeAfterAnswers();
    m_server.m_exchanges[0]->answer(200, {}, std::string(bodyBytes, 'x'));
    m_server.m_listener.closeIdle();
    const TimePoint end = Clock::now() + Milliseconds(1500);
    runUntil(m_loop, [&] { return Clock::now() > end; });
    BOOST_TEST(m_server.m_listener.isSendingResponses());
    BOOST_TEST(m_server.m_listener.mayOweResponses());
    m_client.resumeReading();
    runUntil(m_loop, [&] { return m_client.hasEnded(); });
    BOOST_TEST(m_client.received().size() > bodyBytes);
    BOOST_TEST(!m_server.m_listener.mayOweResponses());
}

BOOST_AUTO_TEST_CASE(a_client_that_leaves_while_its_request_is_in_work_is_noticed)
{
    m_client.write("GET /a HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_client.close();
    runUntil(m_loop, [&] { return m_server.m_gone == 1; });
    m_server.m_exchanges[0]->answer(200, {}, "goes nowhere");
    BOOST_TEST(m_server.m_listener.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(parts_of_an_answer_come_as_chunks_and_end_with_an_empty_one)
{
    m_client.write("GET /a HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.m_exchanges[0]->startAnswer(200, {{"X-Seal", "s"}});
    m_server.m_exchanges[0]->sendPart("part");
    m_server.m_exchanges[0]->finishAnswer();
    runUntil(m_loop, [&] { return m_client.received().ends_with("4\r\npart\r\n0\r\n\r\n"); });
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_broken_off_does_not_look_complete)
{
    m_client.write("GET /a HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.m_exchanges[0]->startAnswer(200, {});
    m_server.m_exchanges[0]->sendPart("part");
    m_server.m_exchanges[0]->breakOff();
    runUntil(m_loop, [&] { return m_client.hasEnded(); });
    BOOST_TEST(!m_client.received().ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(what_cannot_be_read_is_refused_and_harms_no_other_connection)
{
    RawClient other(m_loop, m_server.m_address);
    other.write("GET /b HTTP/1.1\r\n\r\n");
    m_client.write("NONSENSE\r\n\r\n");
    runUntil(m_loop, [&] { return m_client.hasEnded(); });
    BOOST_TEST(m_client.received().starts_with("HTTP/1.1 400"));
    awaitRequests(1);
    m_server.m_exchanges[0]->answer(200, {}, "fine");
    runUntil(m_loop, [&] { return other.received().ends_with("fine"); });
}

BOOST_AUTO_TEST_CASE(a_head_or_body_over_the_limits_is_refused)
{
    HttpServerLimits limits;
    limits.m_maxHeaderBytes = 200;
    limits.m_maxBodyBytes = 10;
    m_server.m_listener.setLimits(limits);
    RawClient large(m_loop, m_server.m_address);
    large.write("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    m_client.write("GET / HTTP/1.1\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
    runUntil(m_loop, [&] { return m_client.hasEnded() && large.hasEnded(); });
    BOOST_TEST(m_client.received().starts_with("HTTP/1.1 431"));
    BOOST_TEST(large.received().starts_with("HTTP/1.1 413"));
}

// Guards against bytes of the body that count as the head's since they come together with its end.
BOOST_AUTO_TEST_CASE(a_head_within_its_limit_is_taken_in_whatever_parts_it_comes)
{
    HttpServerLimits limits;
    limits.m_maxHeaderBytes = 2000;
    m_server.m_listener.setLimits(limits);
    constexpr std::size_t bodyBytes = 1500;
    std::string head = "POST / HTTP/1.1\r\nContent-Length: 1500\r\nX-Long: ";
    head += std::string(limits.m_maxHeaderBytes - head.size() - 4, 'x') + "\r\n\r\n";
    m_client.write(head.substr(0, 100));
    const auto began = [&] { return m_server.m_listener.mayOweResponses(); };
    runUntil(m_loop, began);
    const TimePoint later = Clock::now() + Milliseconds(50);
    runUntil(m_loop, [&] { return Clock::now() > later; });
    m_client.write(head.substr(100) + std::string(bodyBytes, 'b'));
    awaitRequests(1);
    BOOST_TEST(m_server.m_exchanges[0]->body().size() == bodyBytes);
    m_server.m_exchanges[0]->answer(200, {}, "fine");
    runUntil(m_loop, [&] { return m_client.received().ends_with("fine"); });
}

BOOST_AUTO_TEST_CASE(a_request_that_never_ends_is_refused_in_time)
{
    HttpServerLimits limits;
    limits.m_headerTimeout = Milliseconds(50);
    m_server.m_listener.setLimits(limits);
    m_client.write("GET / HTTP/1.1\r\nX-Part");
    runUntil(m_loop, [&] { return m_client.hasEnded(); });
    BOOST_TEST(m_client.received().starts_with("HTTP/1.1 408"));
}

BOOST_AUTO_TEST_CASE(before_a_stop_each_answer_closes_its_connection)
{
    m_client.write("GET / HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.m_listener.closeAfterAnswers();
    m_server.m_exchanges[0]->answer(200, {}, "last");
    runUntil(m_loop, [&] { return m_client.hasEnded(); });
    BOOST_TEST(m_client.received().find("Connection: close") != std::string::npos);
    BOOST_TEST(m_client.received().ends_with("last"));
}

// Guards against bytes that are parsed before those which came earlier and wait.
BOOST_AUTO_TEST_CASE(what_comes_while_a_further_request_waits_to_be_read_is_read_after_it)
{
    m_client.write("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    awaitRequests(1);
    // The rest can be read before the loop goes on with what waits.
    m_loop.post([&] {
        m_client.write("cd");
        m_loop.post([&] { m_server.m_exchanges[0]->answer(200, {}, "one"); });
    });
    awaitRequests(2);
    BOOST_TEST(m_server.m_exchanges[1]->body() == "abcd");
}

// Guards against a connection that is closed since more than a little is sent ahead on it.
BOOST_AUTO_TEST_CASE(a_large_request_sent_ahead_of_an_answer_is_served)
{
    constexpr std::size_t bodyBytes = 1000000;
    m_client.write("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: "
                   + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b'));
    awaitRequests(1);
    const TimePoint later = Clock::now() + Milliseconds(100);
    runUntil(m_loop, [&] { return Clock::now() > later; });
    m_server.m_exchanges[0]->answer(200, {}, "one");
    awaitRequests(2);
    BOOST_TEST(m_server.m_exchanges[1]->body().size() == bodyBytes);
}

BOOST_AUTO_TEST_CASE(a_client_that_reads_nothing_is_disconnected_and_one_that_reads_late_is_not)
{
    constexpr Milliseconds writeTimeout{200};
    constexpr std::size_t answerBytes = 3000000;
    HttpServerLimits limits;
    limits.m_writeTimeout = writeTimeout;
    m_server.m_listener.setLimits(limits);
    m_client.write("GET /a HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.m_exchanges[0]->answer(200, {}, std::string(answerBytes, 'x'));
    runUntil(m_loop, [&] { return m_client.received().size() > answerBytes; });
    const TimePoint later = Clock::now() + 2 * writeTimeout;
    runUntil(m_loop, [&] { return Clock::now() > later; });
    BOOST_TEST(!m_client.hasEnded());
    m_client.pauseReading();
    m_client.write("GET /b HTTP/1.1\r\n\r\n");
    awaitRequests(2);
    m_server.m_exchanges[1]->startAnswer(200, {});
    m_server.m_exchanges[1]->sendPart(std::string(answerBytes, 'x'));
    m_server.m_exchanges[1]->sendPart("y");
    if (m_server.m_exchanges[1]->queuedBytes() > 0)
        runUntil(m_loop, [&] { return m_server.m_gone == 1; });
}

// The request of a client that has just connected may be on its way.
BOOST_AUTO_TEST_CASE(a_connection_without_a_request_so_far_is_not_closed_as_idle)
{
    runUntil(m_loop, [&] { return m_server.m_listener.mayOweResponses(); });
    m_server.m_listener.closeAfterAnswers();
    m_server.m_listener.closeIdle();
    m_client.write("GET / HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.m_exchanges[0]->answer(503, {}, "late");
    runUntil(m_loop, [&] { return m_client.hasEnded(); });
    BOOST_TEST(m_client.received().ends_with("late"));
    BOOST_TEST(!m_server.m_listener.mayOweResponses());
}

BOOST_AUTO_TEST_CASE(a_kept_connection_without_a_further_request_is_closed_as_idle)
{
    m_client.write("GET / HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.m_exchanges[0]->answer(200, {}, "first");
    m_server.m_listener.closeIdle();
    runUntil(m_loop, [&] { return m_client.hasEnded(); });
    BOOST_TEST(m_client.received().ends_with("first"));
}

BOOST_AUTO_TEST_CASE(clients_that_connected_before_the_port_was_closed_are_answered)
{
    constexpr std::size_t clients = 20;
    std::vector<std::unique_ptr<RawClient>> waiting;
    for (std::size_t client = 0; client < clients; ++client) {
        waiting.push_back(std::make_unique<RawClient>(m_loop, m_server.m_address));
        waiting.back()->write("GET / HTTP/1.1\r\n\r\n");
    }
    // The loop doesn't run in between, so that the kernel alone has made these connections.
    m_server.m_listener.stopAccepting();
    awaitRequests(clients);
    for (const auto &exchange : m_server.m_exchanges)
        exchange->answer(503, {}, "late");
    runUntil(m_loop, [&] {
        return std::all_of(waiting.begin(), waiting.end(),
                           [](const auto &client) { return client->received().ends_with("late"); });
    });
    RawClient late(m_loop, m_server.m_address);
    runUntil(m_loop, [&] { return late.hasEnded(); });
    BOOST_TEST(late.received().empty());
}

// With several connections at hand, one is accepted already when the next is on its way to the
// listener.
BOOST_AUTO_TEST_CASE(a_listener_may_go_while_connections_are_being_accepted)
{
    constexpr std::size_t clients = 20;
    auto server = std::make_unique<Server>(m_loop);
    std::vector<std::unique_ptr<RawClient>> connected;
    for (std::size_t client = 0; client < clients; ++client)
        connected.push_back(std::make_unique<RawClient>(m_loop, server->m_address));
    m_loop.callAt(Clock::now(), [&] { server.reset(); });
    runUntil(m_loop, [&] {
        return std::all_of(connected.begin(), connected.end(),
                           [](const auto &client) { return client->hasEnded(); });
    });
    BOOST_TEST(!server);
}

BOOST_AUTO_TEST_CASE(a_listener_may_go_while_a_connection_is_being_closed)
{
    auto server = std::make_unique<Server>(m_loop);
    RawClient client(m_loop, server->m_address);
    client.write("GET / HTTP/1.1\r\n\r\n");
    runUntil(m_loop, [&] { return server->m_exchanges.size() == 1; });
    client.close();
    runUntil(m_loop, [&] { return server->m_gone == 1; });
    server.reset();
    m_client.write("GET / HTTP/1.1\r\n\r\n");
    awaitRequests(1);
}

BOOST_AUTO_TEST_SUITE_END()
