#include <burdockhead/http/httpclient.h>

#include <boost/test/unit_test.hpp>

#include <freeport.h>
#include <thread>

using namespace burdockhead;

namespace {

constexpr std::string_view unframedAnswer = "HTTP/1.1 200 OK\r\n\r\nan answer";

// Answers one request with neither a length nor chunks, and ends the connection.
class UnframedServer
{
public:
    explicit UnframedServer(bool resets)
        : m_resets(resets)
        , m_address(freeLoopbackAddress())
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_address.m_port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int reuse = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        m_isListening =
            bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
            && listen(m_listener, 8) == 0;
        m_thread = std::thread([this] { serve(); });
    }

    ~UnframedServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    const SocketAddress &address() const { return m_address; }
    bool isListening() const { return m_isListening; }

private:
    void serve() const
    {
        const int client = accept(m_listener, nullptr, nullptr);
        if (client < 0)
            return;
        char buffer[4096];
        const bool isAsked = read(client, buffer, sizeof(buffer)) > 0;
        const bool isAnswered =
            isAsked && write(client, unframedAnswer.data(), unframedAnswer.size()) > 0;
        // A linger time of zero closes with a reset. Not before the client has read the answer.
        const linger reset = {1, 0};
        if (isAnswered && m_resets) {
            std::this_thread::sleep_for(Milliseconds(50));
            setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        close(client);
    }

    const bool m_resets;
    const SocketAddress m_address;
    const int m_listener;
    bool m_isListening = false;
    std::thread m_thread;
};

std::optional<HttpResponse> answerOf(const UnframedServer &server)
{
    HttpClient client;
    HttpClientCall call;
    call.m_url = "http://" + server.address().toString() + "/x";
    call.m_deadline = Clock::now() + Seconds(20);
    Failure failure;
    return client.callAndWait(call, failure);
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnframedAnswer)

BOOST_AUTO_TEST_CASE(an_answer_that_ends_with_its_connection_is_whole)
{
    const UnframedServer server(false);
    BOOST_REQUIRE(server.isListening());
    const auto answer = answerOf(server);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->m_body == "an answer");
}

BOOST_AUTO_TEST_CASE(an_answer_whose_connection_is_reset_is_not_whole)
{
    const UnframedServer server(true);
    BOOST_REQUIRE(server.isListening());
    BOOST_TEST(!answerOf(server).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
