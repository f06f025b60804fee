#include <burdockhead/http/httpclient.h>

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <freeport.h>
#include <thread>

using namespace burdockhead;

namespace {

// Accepts connections and answers each POST, but closes the connection of the second one
// without an answer, as an endpoint does that dies after it has run the request.
class DyingServer
{
public:
    DyingServer()
        : m_address(freeLoopbackAddress())
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_address.m_port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int reuse = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
        m_listening = bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0
                      && listen(m_listener, 8) == 0;
        m_thread = std::thread([this] { run(); });
    }

    ~DyingServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    const SocketAddress &address() const { return m_address; }
    int arrived() const { return m_arrived; }
    bool listening() const { return m_listening; }

private:
    void run()
    {
        for (int client = accept(m_listener, nullptr, nullptr); client >= 0;
             client = accept(m_listener, nullptr, nullptr)) {
            serve(client);
            close(client);
        }
    }

    void serve(int client)
    {
        std::string received;
        char buffer[4096];
        for (ssize_t size = read(client, buffer, sizeof(buffer)); size > 0;
             size = read(client, buffer, sizeof(buffer))) {
            received.append(buffer, static_cast<std::size_t>(size));
            if (!received.ends_with("the body"))
                continue;
            received.clear();
            if (++m_arrived == 2)
                return;
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if (write(client, answer.data(), answer.size()) < 0)
                return;
        }
    }

    const SocketAddress m_address;
    const int m_listener;
    bool m_listening = false;
    std::atomic<int> m_arrived = 0;
    std::thread m_thread;
};

// Makes the call twice, the first time answered, and says whether the second succeeded.
bool secondCallSucceeds(const DyingServer &server, bool neverResend)
{
    HttpClient client;
    std::optional<HttpResponse> answer;
    for (int round = 0; round < 2; ++round) {
        HttpClientCall call;
        call.m_method = "POST";
        call.m_url = "http://" + server.address().toString() + "/pay";
        call.m_body = "the body";
        call.m_deadline = Clock::now() + Seconds(20);
        call.m_neverResend = neverResend;
        Failure failure;
        answer = client.callAndWait(call, failure);
    }
    return answer.has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(NeverResend)

BOOST_AUTO_TEST_CASE(a_call_that_may_not_be_repeated_arrives_once_and_fails)
{
    const DyingServer server;
    BOOST_REQUIRE(server.listening());
    BOOST_TEST(!secondCallSucceeds(server, true));
    BOOST_TEST(server.arrived() == 2);
}

// The library would send it again by itself.
BOOST_AUTO_TEST_CASE(a_post_on_a_kept_connection_arrives_once_and_fails)
{
    const DyingServer server;
    BOOST_REQUIRE(server.listening());
    BOOST_TEST(!secondCallSucceeds(server, false));
    BOOST_TEST(server.arrived() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
