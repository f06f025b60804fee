#include <burdockhead/membership/controllink.h>

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <freeport.h>
#include <poll.h>
#include <thread>
#include <unistd.h>

using namespace burdockhead;

namespace {

bool readable(int descriptor, int milliseconds)
{
    pollfd waited = {descriptor, POLLIN, 0};
    return poll(&waited, 1, milliseconds) == 1;
}

// Speaks nng's handshake, takes one message and closes the connection without an answer.
bool takeMessage(int connection)
{
    const std::array<char, 8> hello = {0, 'S', 'P', 0, 0, 0x31, 0, 0};
    if (write(connection, hello.data(), hello.size()) != 8)
        return false;
    std::array<char, 256> bytes{};
    std::size_t received = 0;
    while (received <= hello.size() && readable(connection, 1000)) {
        const ssize_t count = read(connection, bytes.data(), bytes.size());
        if (count <= 0)
            break;
        received += static_cast<std::size_t>(count);
    }
    return received > hello.size();
}

int listenAt(const SocketAddress &address)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in bound = {};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(address.m_port);
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int reuse = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    BOOST_REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&bound), sizeof(bound)) == 0);
    BOOST_REQUIRE(listen(listener, 4) == 0);
    return listener;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlLinks)

// nng would send the message again over the next connection if resending were left on.
BOOST_AUTO_TEST_CASE(a_message_whose_connection_breaks_is_not_sent_again)
{
    const SocketAddress address = freeLoopbackAddress();
    const int listener = listenAt(address);
    ControlLink link([](std::uint64_t, const std::string &) { return std::nullopt; });
    std::atomic<int> ends = 0;
    std::atomic<bool> answered = false;
    link.send(address, 20, "order", Clock::now() + Seconds(4),
              [&](const std::optional<std::string> &answer) {
                  answered = answer.has_value();
                  ++ends;
              });
    int messages = 0;
    int connections = 0;
    while (readable(listener, 2500)) {
        const int connection = accept(listener, nullptr, nullptr);
        ++connections;
        messages += takeMessage(connection) ? 1 : 0;
        close(connection);
        if (connections == 3)
            break;
    }
    close(listener);
    link.close();
    BOOST_TEST(messages == 1);
    BOOST_TEST(connections > 1);
    BOOST_TEST(ends == 1);
    BOOST_TEST(!answered);
}

BOOST_AUTO_TEST_SUITE_END()
