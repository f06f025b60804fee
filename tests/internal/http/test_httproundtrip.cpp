#include <burdockhead/http/httpclient.h>
#include <burdockhead/http/httpserver.h>

#include <boost/test/unit_test.hpp>

#include <freeport.h>
#include <future>

using namespace burdockhead;

namespace {

HttpClientCall callTo(const SocketAddress &address, const std::string &path, std::string body)
{
    HttpClientCall call;
    call.m_method = "POST";
    call.m_url = "http://" + address.toString() + path;
    call.m_body = std::move(body);
    call.m_deadline = Clock::now() + Seconds(20);
    return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpRoundTrip)

BOOST_AUTO_TEST_CASE(whole_and_chunked_responses_arrive_whole)
{
    HttpServerOptions options;
    options.m_listen = freeLoopbackAddress();
    HttpServer server(options, [](const HttpRequest &request, const auto &responder) {
        if (request.m_path == "/whole") {
            responder->respond({201, {{"X-Echo", "yes"}}, request.m_body});
            return;
        }
        responder->begin(200, {});
        for (int index = 0; index < 500; ++index)
            responder->write(std::to_string(index) + ",");
        responder->finish();
    });
    BOOST_REQUIRE(server.start());
    HttpClient client;
    Failure failure;
    const auto whole = client.callAndWait(callTo(options.m_listen, "/whole", "abc"), failure);
    BOOST_REQUIRE(whole.has_value());
    BOOST_TEST(whole->m_status == 201);
    BOOST_TEST(whole->m_body == "abc");
    const auto chunked = client.callAndWait(callTo(options.m_listen, "/chunks", ""), failure);
    BOOST_REQUIRE(chunked.has_value());
    BOOST_TEST(chunked->m_body.ends_with("498,499,"));
}

BOOST_AUTO_TEST_CASE(a_body_over_the_limit_gets_a_clear_error)
{
    HttpServerOptions options;
    options.m_listen = freeLoopbackAddress();
    options.m_maxBodyBytes = 100;
    HttpServer server(options, [](const HttpRequest &, const auto &responder) {
        responder->respond({200, {}, "ok"});
    });
    BOOST_REQUIRE(server.start());
    HttpClient client;
    Failure failure;
    const auto answer =
        client.callAndWait(callTo(options.m_listen, "/", std::string(150, 'x')), failure);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->m_status == 413);
}

// A body far over the limit is refused by the server itself, in the same form.
BOOST_AUTO_TEST_CASE(refusals_by_the_server_have_the_form_of_the_error_table)
{
    HttpServerOptions options;
    options.m_listen = freeLoopbackAddress();
    options.m_maxBodyBytes = 100;
    options.m_budget.m_maxRequestBytes = 20000;
    HttpServer server(options, [](const HttpRequest &, const auto &responder) {
        responder->respond({200, {}, "ok"});
    });
    BOOST_REQUIRE(server.start());
    HttpClient client;
    Failure failure;
    const auto tooLarge =
        client.callAndWait(callTo(options.m_listen, "/", std::string(1000, 'x')), failure);
    BOOST_REQUIRE(tooLarge.has_value());
    BOOST_TEST(tooLarge->m_status == 413);
    BOOST_TEST(tooLarge->m_body.find(R"("run_state":"not_run")") != std::string::npos);
    HttpClientCall large = callTo(options.m_listen, "/", "");
    for (int number = 0; number < 60; ++number)
        large.m_headers.push_back({"X-Header-" + std::to_string(number), std::string(500, 'x')});
    const auto noRoom = client.callAndWait(std::move(large), failure);
    BOOST_REQUIRE(noRoom.has_value());
    BOOST_TEST(noRoom->m_status == 503);
    BOOST_TEST(noRoom->m_body.find(R"("retry_after_ms":1000)") != std::string::npos);
    const auto served = client.callAndWait(callTo(options.m_listen, "/", "x"), failure);
    BOOST_REQUIRE(served.has_value());
    BOOST_TEST(served->m_status == 200);
}

BOOST_AUTO_TEST_CASE(a_responder_may_outlive_its_server)
{
    std::shared_ptr<HttpResponder> kept;
    {
        HttpServerOptions options;
        options.m_listen = freeLoopbackAddress();
        std::promise<void> arrived;
        HttpServer server(options, [&](const HttpRequest &, const auto &responder) {
            kept = responder;
            arrived.set_value();
        });
        BOOST_REQUIRE(server.start());
        HttpClient client;
        client.start(callTo(options.m_listen, "/", ""), {});
        arrived.get_future().get();
    }
    kept->respond({200, {}, "late"});
    kept.reset();
}

BOOST_AUTO_TEST_CASE(a_refused_connection_was_not_sent_and_a_cut_answer_was)
{
    const auto outcomeOf = [](const SocketAddress &address) {
        HttpClient client;
        std::promise<HttpOutcome> done;
        HttpClientCall call = callTo(address, "/", "body");
        call.m_neverResend = true;
        HttpCallHandlers handlers;
        handlers.m_onDone = [&](const HttpOutcome &outcome) { done.set_value(outcome); };
        client.start(call, std::move(handlers));
        return done.get_future().get();
    };
    BOOST_TEST(!outcomeOf(freeLoopbackAddress()).m_sent);
    HttpServerOptions options;
    options.m_listen = freeLoopbackAddress();
    options.m_handleLimit = Milliseconds(100);
    std::shared_ptr<HttpResponder> kept;
    HttpServer server(options,
                      [&](const HttpRequest &, const auto &responder) { kept = responder; });
    BOOST_REQUIRE(server.start());
    const HttpOutcome cut = outcomeOf(options.m_listen);
    BOOST_TEST(!cut.m_completed);
    BOOST_TEST(cut.m_sent);
}

BOOST_AUTO_TEST_CASE(a_call_to_a_closed_port_fails_without_a_connection)
{
    HttpClient client;
    Failure failure;
    const auto answer = client.callAndWait(callTo(freeLoopbackAddress(), "/", ""), failure);
    BOOST_TEST(!answer.has_value());
    BOOST_TEST((failure.m_kind == ErrorKind::PeerUnreachable));
}

BOOST_AUTO_TEST_SUITE_END()
